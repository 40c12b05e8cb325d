package io.sequoiapass.coordination.version;

/**
 * Rate limiter for one daemon's calls to the platform: a token bucket with a reserve for urgent
 * calls.
 *
 * <pre>{@code
 * CallBudget budget = CallBudget.create(2.0, 10, now);
 * if (budget.tryAcquire(now, CallKind.LEASE)) { ... }
 * }</pre>
 *
 * <p>Not thread-safe; confined to one shard.
 */
public final class CallBudget {

  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final double callsPerSecond;
  private final double burst;
  private double tokens;
  private long refilledAt;
  private long throttledUntil;

  private CallBudget(double callsPerSecond, double burst, long now) {
    this.callsPerSecond = callsPerSecond;
    this.burst = burst;
    this.tokens = burst;
    this.refilledAt = now;
    this.throttledUntil = now;
  }

  /**
   * Returns a full budget.
   *
   * @param callsPerSecond the rate; 400 daemons at 2 calls per second use at most half of the
   *     platform's capacity
   * @param burst the maximum number of calls in a burst
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
   * Takes a token if one is available to this kind of call.
   *
   * @param now the time
   * @param kind the purpose of the call
   */
  public boolean tryAcquire(long now, CallKind kind) {
    refill(now);
    if (now < throttledUntil || tokens - 1 < kind.reservedShare() * burst) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /**
   * Records that the platform rejected a call for exceeding the rate, and blocks all calls for a
   * while.
   *
   * @param now the time
   * @param retryAfterMillis the delay requested by the platform, in milliseconds
   */
  public void throttled(long now, long retryAfterMillis) {
    throttledUntil = Math.max(throttledUntil, now + retryAfterMillis);
  }

  private void refill(long now) {
    double refilled = (now - refilledAt) * callsPerSecond / MILLIS_PER_SECOND;
    tokens = Math.min(burst, tokens + Math.max(0, refilled));
    refilledAt = Math.max(refilledAt, now);
  }
}
