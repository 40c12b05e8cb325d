package io.sequoiapass.gateway.process;

/**
 * Learns how many adapters engines keep in their own memory besides those in use: a load of one
 * that was kept takes a tenth of the time of one from the store.
 *
 * <p>The depth of an adapter is the number of adapters that the engine has held since. A load that
 * came from memory shows that the memory reaches at least so deep; one that did not, that it does
 * not. Loads a little beyond what is sure are tried as if they were kept, since nothing else would
 * ever show more; a trial that fails costs one request its refusal and makes the next ones rarer.
 * Not safe for use by several threads.
 */
final class KeptDepth {

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
  KeptDepth(int places) {
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
  void notKept(int depth) {
    if (depth < sure) {
      sure = Math.max(LEAST, sure - FALL * (sure - depth));
    } else {
      trial = Math.max(LEAST_TRIAL, trial * TRIAL_FALL);
    }
  }
}
