package io.sequoiapass.gateway.process;

/**
 * Estimates when the next queued load gets an adapter slot, from how often slots become free.
 *
 * <pre>{@code
 * turnover.queueStarted(now);         // a load is queued while the queue was empty
 * turnover.slotAssigned(now);         // a queued load got a slot
 * turnover.expectedMs(3, 85, now);    // behind three others, at engines of 85 slots
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
final class SlotTurnoverEstimator {

  /**
   * Initial estimate of the time that an adapter occupies a slot, in milliseconds: one response.
   */
  private static final double FIRST_OCCUPIED_MS = 1_500;

  /** Bounds of the time between two free slots, in milliseconds. */
  private static final double MIN_MS = 1;

  private static final double MAX_MS = 5_000;

  private MovingAverage intervalMs;
  private long since;

  /** Records that the first load is queued. */
  void queueStarted(long now) {
    since = now;
  }

  /** Records that a queued load got a slot. */
  void slotAssigned(long now) {
    double sample = (double) (now - since);
    if (intervalMs == null) {
      intervalMs = new MovingAverage(sample, MIN_MS, MAX_MS);
    }
    intervalMs.sample(sample);
    since = now;
  }

  /**
   * Returns the expected wait of a new load, in milliseconds.
   *
   * @param ahead number of queued loads before it
   * @param slots number of slots of all engines
   * @param now the time, in milliseconds
   */
  long expectedMs(int ahead, int slots, long now) {
    double eachMs =
        intervalMs == null ? FIRST_OCCUPIED_MS / Math.max(1, slots) : intervalMs.value();
    // While no slot becomes free, for example after engines have crashed, the average is too low.
    double stalledMs = ahead == 0 ? 0 : now - since;
    return (long) (Math.max(eachMs, stalledMs) * (1 + ahead));
  }
}
