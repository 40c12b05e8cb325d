package io.sequoiapass.coordination.connection;

/**
 * Finds how many calls an endpoint takes at once: one more for each round of answers while it is
 * fully used, a part fewer when it refuses.
 *
 * <pre>{@code
 * if (running < limit.calls()) {
 *   send();
 * }
 * }</pre>
 *
 * <p>Additive increase and multiplicative decrease, up to the bound that the configuration gives. A
 * gradient of latency was weighed: calls of one plain service differ in length by more than
 * queueing adds to them, so that a run of long calls would look like an overload. Not safe for use
 * by several threads.
 */
public final class ConcurrencyLimit {

  private static final double DECREASE = 0.7;

  /** Refusals that one overload brings come together; each counted would end at a single call. */
  private static final long PAUSE_MILLIS = 100;

  private int bound;
  private double calls;
  private long decreasedAt = Long.MIN_VALUE / 2;

  /**
   * Creates a limit that begins at its bound.
   *
   * @param bound the most calls at once, at least 1
   */
  public ConcurrencyLimit(int bound) {
    this.bound = checked(bound);
    this.calls = bound;
  }

  /**
   * Takes another bound from the configuration; what was learnt below it stays.
   *
   * @param newBound the most calls at once, at least 1
   */
  public void bound(int newBound) {
    boolean unlimited = calls >= bound;
    bound = checked(newBound);
    calls = unlimited ? bound : Math.min(calls, bound);
  }

  private static int checked(int bound) {
    if (bound < 1) {
      throw new IllegalArgumentException("bound must be at least 1: " + bound);
    }
    return bound;
  }

  /** Returns how many calls may run at once, at least 1. */
  public int calls() {
    return Math.max(1, (int) calls);
  }

  /**
   * Notes that the endpoint answered.
   *
   * @param running calls that ran, this one included; growth without use would mean nothing
   */
  public void answered(int running) {
    if (running >= calls()) {
      calls = Math.min(bound, calls + 1 / calls);
    }
  }

  /**
   * Notes that the endpoint refused a call for lack of room.
   *
   * @param nowMillis the time
   */
  public void refused(long nowMillis) {
    if (nowMillis - decreasedAt >= PAUSE_MILLIS) {
      decreasedAt = nowMillis;
      calls = Math.max(1, calls * DECREASE);
    }
  }
}
