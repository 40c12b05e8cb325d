package io.sequoiapass.coordination.version;

/**
 * Bounds one daemon's calls to the platform: a token bucket with a reserve for urgent calls.
 *
 * <pre>{@code
 * CallBudget budget = CallBudget.create(2.0, 10, now);
 * if (budget.tryAcquire(now, CallKind.LEASE)) { ... }
 * }</pre>
 *
 * <p>Not thread-safe; one shard drives it.
 */
public final class CallBudget {

  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final double callsPerSecond;
  private final double burst;
  private double tokens;
  private long refilledAt;
  private long closedUntil;

  private CallBudget(double callsPerSecond, double burst, long now) {
    this.callsPerSecond = callsPerSecond;
    this.burst = burst;
    this.tokens = burst;
    this.refilledAt = now;
    this.closedUntil = now;
  }

  /**
   * Returns a full budget.
   *
   * @param callsPerSecond the rate; 400 daemons at 2 calls a second stay within half of what the
   *     platform serves
   * @param burst the calls that may come at once
   * @param now the time
   */
  public static CallBudget create(double callsPerSecond, double burst, long now) {
    if (!(callsPerSecond > 0) || !(burst >= 1)) {
      throw new IllegalArgumentException(
          "budget needs a rate > 0 and a burst >= 1: " + callsPerSecond + ", " + burst);
    }
    return new CallBudget(callsPerSecond, burst, now);
  }

  /**
   * Takes a token if this kind of call may have one.
   *
   * @param now the time
   * @param kind what the call is for
   */
  public boolean tryAcquire(long now, CallKind kind) {
    refill(now);
    if (now < closedUntil || tokens - 1 < kind.reservedShare() * burst) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /**
   * Takes in that the platform refused a call for its rate: no call goes out for a while.
   *
   * @param now the time
   * @param retryAfterMillis how long the platform asks to wait
   */
  public void throttled(long now, long retryAfterMillis) {
    closedUntil = Math.max(closedUntil, now + retryAfterMillis);
  }

  private void refill(long now) {
    double gained = (now - refilledAt) * callsPerSecond / MILLIS_PER_SECOND;
    tokens = Math.min(burst, tokens + Math.max(0, gained));
    refilledAt = Math.max(refilledAt, now);
  }
}
