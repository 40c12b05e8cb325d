package io.sequoiapass.gateway.process;

/**
 * Learns how often an adapter slot becomes free, and estimates when the next queued load gets one.
 *
 * <pre>{@code
 * turnover.waiting(now);              // a load is queued while none was
 * turnover.placed(now);               // a queued load got a slot
 * turnover.expectedMs(3, 85, now);    // behind three others, at engines of 85 slots
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
final class SlotTurnoverEstimator {

  /** How long a place is taken by an adapter until it is learned, in milliseconds: one answer. */
  private static final double FIRST_HELD_MS = 1_500;

  /** Bounds of the time between two places, in milliseconds. */
  private static final double SHORTEST_MS = 1;

  private static final double LONGEST_MS = 5_000;

  private LearnedTime between;
  private long since;

  /** Records that a load is queued while none was. */
  void waiting(long now) {
    since = now;
  }

  /** Notes that a place was given to one that waited. */
  void placed(long now) {
    double sample = (double) (now - since);
    if (between == null) {
      between = new LearnedTime(sample, SHORTEST_MS, LONGEST_MS);
    }
    between.sample(sample);
    since = now;
  }

  /**
   * Returns the expected wait of a new load, in milliseconds.
   *
   * @param ahead how many wait
   * @param places the places of all engines
   * @param now the time, in milliseconds
   */
  long expectedMs(int ahead, int places, long now) {
    double eachMs = between == null ? FIRST_HELD_MS / Math.max(1, places) : between.value();
    // While nothing becomes free, what was learned before does not hold.
    double stalledMs = ahead == 0 ? 0 : now - since;
    return (long) (Math.max(eachMs, stalledMs) * (1 + ahead));
  }
}
