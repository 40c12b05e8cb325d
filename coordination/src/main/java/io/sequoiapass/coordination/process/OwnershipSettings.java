package io.sequoiapass.coordination.process;

/**
 * Holds the times and bounds of {@link OwnershipPlanner}.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param proposers how many daemons of a data centre propose at once; two, so that the loss of one
 *     delays no takeover, and no more, since all but one conflict
 * @param rankDelayMillis how long each next-ranked daemon waits for those before it; above one
 *     call's time, so that it mostly finds the work done
 * @param loadFactor how far above the mean a daemon's share of endpoints may rise; below 1.1 a
 *     change moves endpoints of daemons that it does not concern
 * @param maxMoves how many endpoints a daemon hands over in one write for balance alone
 * @param settleMillis how long a daemon must have been a candidate before endpoints move to it for
 *     balance alone, so that one which comes and goes moves nothing
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
