package io.sequoiapass.coordination.process;

/**
 * The number of daemons by which one that is cut off divides what all share.
 *
 * <p>A coordinator hears only the daemons that are linked to it: few while it is new, and one side
 * of a cut. So the largest number of some time counts, of coordinators that are not new. Not safe
 * for use by several threads.
 */
public final class FleetSize {

  /** How long a larger number counts, in milliseconds; longer than cuts and takeovers last. */
  private static final long RETAINED_MS = 600_000;

  private int largest;
  private long at;

  /**
   * Records how many daemons are linked to a coordinator.
   *
   * @param daemons the number
   * @param isNew whether the coordinator has not been one for a whole window yet
   * @param now the time, in milliseconds
   */
  public void observe(int daemons, boolean isNew, long now) {
    if (!isNew && (daemons >= largest || now - at >= RETAINED_MS)) {
      largest = daemons;
      at = now;
    }
  }

  /** Returns the number of daemons; 0 if it is unknown. */
  public int daemons() {
    return largest;
  }
}
