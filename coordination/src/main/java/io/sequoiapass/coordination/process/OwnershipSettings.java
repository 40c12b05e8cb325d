package io.sequoiapass.coordination.process;

/**
 * Timing settings and limits of {@link OwnershipPlanner}.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param proposers the number of daemons of a data centre that read leases for a takeover without
 *     delay; two, so that the loss of one delays no takeover, and no more, since all writes but one
 *     conflict
 * @param rankDelayMillis the additional delay of each next-ranked daemon; above the duration of one
 *     call, so that the write of a higher-ranked daemon is usually visible by then
 * @param loadFactor the maximum load of a daemon relative to the mean; below 1.1 a change moves
 *     endpoints of unrelated daemons
 * @param maxMoves the maximum number of endpoints that a daemon hands over in one write for
 *     rebalancing
 * @param settleMillis the time that a daemon must have been a candidate before endpoints move to it
 *     for rebalancing, so that a flapping daemon moves none
 */
public record OwnershipSettings(
    int proposers, long rankDelayMillis, double loadFactor, int maxMoves, long settleMillis) {

  /** The settings for data centres of up to 34 daemons. */
  public static final OwnershipSettings DEFAULT = new OwnershipSettings(2, 1_500, 1.25, 4, 10_000);

  /** Checks the bounds. */
  public OwnershipSettings {
    if (proposers < 1 || proposers > 2) {
      throw new IllegalArgumentException("proposers must be 1 or 2: " + proposers);
    }
    if (rankDelayMillis <= 0) {
      throw new IllegalArgumentException("rankDelay must be > 0: " + rankDelayMillis);
    }
    if (!(loadFactor >= 1.1)) {
      throw new IllegalArgumentException("loadFactor must be >= 1.1: " + loadFactor);
    }
    if (maxMoves < 1) {
      throw new IllegalArgumentException("maxMoves must be >= 1: " + maxMoves);
    }
    if (settleMillis < 0) {
      throw new IllegalArgumentException("settle must be >= 0: " + settleMillis);
    }
  }
}
