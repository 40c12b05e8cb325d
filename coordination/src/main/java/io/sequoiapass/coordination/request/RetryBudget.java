package io.sequoiapass.coordination.request;

/**
 * Limits the attempts beyond the first to a share of the requests, so that failures of many
 * endpoints at once cannot multiply the load on those that are left.
 *
 * <pre>{@code
 * RetryBudget budget = new RetryBudget(0.1, 20);
 * budget.requestArrived();
 * if (budget.take(RetryBudget.Use.RETRY)) {
 *   sendAgain();
 * }
 * }</pre>
 *
 * <p>One budget serves all requests of a shard, under that shard's lock; not safe for use by
 * several threads.
 */
public final class RetryBudget {

  /** Tells what a further attempt is for: the less is lost without it, the more has to be left. */
  public enum Use {
    /** A second copy of work that has not failed; only from a budget that is half full. */
    HEDGE(0.5),
    /** Work that failed before its first token. */
    RETRY(0),
    /**
     * Work whose owner died before it answered. It replaces load that the dead owner carried, so it
     * may overdraw: otherwise the death of one daemon fails all but a burst of what it had queued.
     */
    OWNER_LOST(-1),
    /**
     * Work whose caller has part of its answer. It replaces load that a lost endpoint carried, so
     * it may overdraw: without it a caller loses what it has already read.
     */
    RESUME(-1);

    private final double floor;

    Use(double floor) {
      this.floor = floor;
    }
  }

  private final double ratio;
  private final double capacity;
  private double tokens;

  /**
   * Creates a full budget.
   *
   * @param ratio attempts beyond the first for each request, above 0 and at most 1
   * @param capacity the most that can be saved up: a burst of failures this large is retried at
   *     once; at least 1
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

  /** Adds the share of one request. */
  public void requestArrived() {
    tokens = Math.min(capacity, tokens + ratio);
  }

  /** Takes one attempt, or returns false if the budget does not allow it. */
  public boolean take(Use use) {
    if (tokens - 1 < use.floor * capacity) {
      return false;
    }
    tokens--;
    return true;
  }
}
