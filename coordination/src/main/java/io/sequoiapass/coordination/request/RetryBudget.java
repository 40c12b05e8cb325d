package io.sequoiapass.coordination.request;

/**
 * Token bucket that limits retries and hedges to a fraction of the requests, so that failures of
 * many endpoints cannot multiply the load on the remaining ones.
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget(0.1, 20);
 * budget.requestArrived();
 * if (budget.take(RetryBudget.Use.RETRY)) {
 *   sendAgain();
 * }
 * }</pre>
 *
 * <p>All requests of a shard share one budget, guarded by the lock of the shard; not safe for use
 * by several threads.
 */
public final class RetryBudget {

  /** Purpose of an additional attempt; the less is lost without it, the more budget must remain. */
  public enum Use {
    /** A second copy of work that has not failed; needs a budget that is at least half full. */
    HEDGE(0.5),
    /** Work that failed before its first token. */
    RETRY(0),
    /**
     * Work whose owner failed before it answered. It replaces load that the failed owner carried,
     * so it may overdraw the budget: otherwise the failure of one daemon fails all of its queued
     * work beyond one burst.
     */
    OWNER_LOST(-1),
    /**
     * Work whose caller has received part of its answer. It replaces load that a lost endpoint
     * carried, so it may overdraw the budget: otherwise the caller loses the part that it has
     * received.
     */
    RESUME(-1);

    private final double minFill;

    Use(double minFill) {
      this.minFill = minFill;
    }
  }

  private final double ratio;
  private final double capacity;
  private double tokens;

  /**
   * Creates a full budget.
   *
   * @param ratio additional attempts per request, above 0 and at most 1
   * @param capacity maximum budget, at least 1; a burst of this many failures is retried
   *     immediately
   */
  public RetryBudget(double ratio, double capacity) {
    if (!(ratio > 0 && ratio <= 1)) {
      throw new IllegalArgumentException("ratio must be above 0 and at most 1: " + ratio);
    }
    if (!(capacity >= 1)) {
      throw new IllegalArgumentException("capacity must be at least 1: " + capacity);
    }
    this.ratio = ratio;
    this.capacity = capacity;
    this.tokens = capacity;
  }

  /** Adds the budget share of one request. */
  public void requestArrived() {
    tokens = Math.min(capacity, tokens + ratio);
  }

  /**
   * Takes one attempt from the budget, or returns false if there is too little left for this use.
   */
  public boolean take(Use use) {
    if (tokens - 1 < use.minFill * capacity) {
      return false;
    }
    tokens--;
    return true;
  }
}
