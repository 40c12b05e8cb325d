package io.sequoiapass.gateway.process;

/**
 * Estimates how many adapters engines cache in their own memory.
 *
 * <p>The depth of an adapter is the number of adapters that the engine has held since. A load
 * served from memory shows that the cache is at least that deep; one from the store shows that it
 * is not. Depths slightly beyond the confirmed one are tried, and fewer of them after a trial has
 * failed. Not safe for use by several threads.
 */
final class AdapterCacheDepthEstimator {

  /** Initial estimate of cached adapters per slot. */
  private static final int FIRST_PER_SLOT = 4;

  /** Smallest estimate: an adapter that has just been evicted is still cached. */
  private static final double MIN_DEPTH = 2;

  /** How far beyond the confirmed depth is tried, as a share of it: smallest and largest value. */
  private static final double MIN_TRIAL = 0.02;

  private static final double MAX_TRIAL = 0.25;

  /** Factors of the trial share after a successful and a failed trial. */
  private static final double TRIAL_GROWTH = 1.5;

  private static final double TRIAL_DECAY = 0.5;

  /** Weight of one adapter that was not cached within the confirmed depth. */
  private static final double MISS_WEIGHT = 0.25;

  private double confirmed;
  private double trial = MAX_TRIAL;

  /**
   * Creates an estimator with an initial guess from the configuration.
   *
   * @param slots the adapter slots of an engine
   */
  AdapterCacheDepthEstimator(int slots) {
    confirmed = Math.max(MIN_DEPTH, (double) slots * FIRST_PER_SLOT);
  }

  /** Returns the largest depth at which an adapter is assumed to be cached. */
  int reach() {
    return (int) Math.ceil(confirmed * (1 + trial));
  }

  /** Records that an adapter at a depth was cached. */
  void cached(int depth) {
    if (depth > confirmed) {
      confirmed = depth;
      trial = Math.min(MAX_TRIAL, trial * TRIAL_GROWTH);
    }
  }

  /** Records that an adapter at a depth was not cached. */
  void notCached(int depth) {
    if (depth < confirmed) {
      confirmed = Math.max(MIN_DEPTH, confirmed - MISS_WEIGHT * (confirmed - depth));
    } else {
      trial = Math.max(MIN_TRIAL, trial * TRIAL_DECAY);
    }
  }
}
