package io.sequoiapass.coordination.connection;

/**
 * Adaptive limit on concurrent calls to an endpoint: additive increase while the limit is fully
 * used, multiplicative decrease on refusals.
 *
 * <pre>{@code
 * if (running < limit.calls()) {
 *   send();
 * }
 * }</pre>
 *
 * <p>The limit grows by one call per round of answers, up to the configured bound. A latency
 * gradient is not used: calls of one plain service differ in length by more than queueing adds, so
 * a run of long calls would be taken for an overload. Not safe for use by several threads.
 */
public final class ConcurrencyLimit {

  private static final double DECREASE_FACTOR = 0.7;

  /**
   * One overload produces a burst of refusals; counting each would reduce the limit to one call.
   */
  private static final long DECREASE_INTERVAL_MILLIS = 100;

  private int bound;
  private double calls;
  private long decreasedAt = Long.MIN_VALUE / 2;

  /**
   * Creates a limit that starts at its bound.
   *
   * @param bound the maximum number of concurrent calls, at least 1
   */
  public ConcurrencyLimit(int bound) {
    this.bound = checked(bound);
    this.calls = bound;
  }

  /**
   * Changes the configured bound and keeps a limit that has adapted below it.
   *
   * @param newBound the maximum number of concurrent calls, at least 1
   */
  public void bound(int newBound) {
    boolean atBound = calls >= bound;
    bound = checked(newBound);
    calls = atBound ? bound : Math.min(calls, bound);
  }

  private static int checked(int bound) {
    if (bound < 1) {
      throw new IllegalArgumentException("bound must be at least 1: " + bound);
    }
    return bound;
  }

  /** Returns the number of calls that may run concurrently, at least 1. */
  public int calls() {
    return Math.max(1, (int) calls);
  }

  /**
   * Records an answer of the endpoint.
   *
   * @param running calls that were running, including this one; the limit grows only when fully
   *     used, since an unused limit is not tested by an answer
   */
  public void answered(int running) {
    if (running >= calls()) {
      calls = Math.min(bound, calls + 1 / calls);
    }
  }

  /**
   * Records that the endpoint refused a call because it was at capacity.
   *
   * @param nowMillis the time
   */
  public void refused(long nowMillis) {
    if (nowMillis - decreasedAt >= DECREASE_INTERVAL_MILLIS) {
      decreasedAt = nowMillis;
      calls = Math.max(1, calls * DECREASE_FACTOR);
    }
  }
}
