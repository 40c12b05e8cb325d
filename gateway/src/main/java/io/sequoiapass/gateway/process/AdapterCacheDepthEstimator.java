package io.sequoiapass.gateway.process;

/**
 * Learns how many adapters engines cache in their own memory.
 *
 * <p>The depth of an adapter is the number of adapters that the engine has held since. A load
 * served from memory shows that the cache reaches at least that deep; one from the store shows that
 * it does not. Depths slightly beyond the known one are tried, and less often after a trial has
 * failed. Not safe for use by several threads.
 */
final class AdapterCacheDepthEstimator {

  /** Adapters that are taken to be kept for each place until it is learned. */
  private static final int FIRST_PER_PLACE = 4;

  /** Least depth that is believed: an adapter that has just made way is kept. */
  private static final double LEAST = 2;

  /** How much beyond the sure depth is tried, as a share of it, at the least and at the most. */
  private static final double LEAST_TRIAL = 0.02;

  private static final double LARGEST_TRIAL = 0.25;

  /** What a trial's outcome makes of the next ones. */
  private static final double TRIAL_GROWTH = 1.5;

  private static final double TRIAL_FALL = 0.5;

  /** Weight of one load that was not kept where it should have been. */
  private static final double FALL = 0.25;

  private double sure;
  private double trial = LARGEST_TRIAL;

  /**
   * Begins with a guess from the configuration.
   *
   * @param places the adapters that an engine holds at once
   */
  AdapterCacheDepthEstimator(int places) {
    sure = Math.max(LEAST, (double) places * FIRST_PER_PLACE);
  }

  /** Returns how deep an adapter may lie and still be taken to be kept. */
  int reach() {
    return (int) Math.ceil(sure * (1 + trial));
  }

  /** Notes that an adapter at a depth was kept. */
  void kept(int depth) {
    if (depth > sure) {
      sure = depth;
      trial = Math.min(LARGEST_TRIAL, trial * TRIAL_GROWTH);
    }
  }

  /** Notes that an adapter at a depth was not kept. */
  void notCached(int depth) {
    if (depth < sure) {
      sure = Math.max(LEAST, sure - FALL * (sure - depth));
    } else {
      trial = Math.max(LEAST_TRIAL, trial * TRIAL_FALL);
    }
  }
}
