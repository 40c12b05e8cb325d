package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;

/**
 * Detects that the host was suspended: the monotonic clock stops meanwhile, and the wall clock does
 * not.
 *
 * <p>Otherwise a resumed holder would consider its lease valid and order endpoints that another
 * holder orders meanwhile. A jump of the wall clock looks the same and only costs one renewal of
 * the lease. Not safe for use by several threads.
 */
final class FreezeDetector {

  /**
   * Smallest drift between the clocks that counts as a suspension, in milliseconds; far above the
   * effects of scheduling.
   */
  private static final long DRIFT_MS = 400;

  private final MillisClock monotonic;
  private final MillisClock wall;
  private long offset;
  private boolean suspect;

  FreezeDetector(MillisClock monotonic, MillisClock wall) {
    this.monotonic = monotonic;
    this.wall = wall;
    this.offset = wall.millis() - monotonic.millis();
  }

  /**
   * Returns whether the clocks have drifted apart since the last call; if so, the lease is suspect.
   */
  boolean checkDrift() {
    long current = wall.millis() - monotonic.millis();
    boolean drifted = Math.abs(current - offset) > DRIFT_MS;
    offset = drifted ? current : offset;
    suspect |= drifted;
    return drifted;
  }

  /** Records that the lease was renewed after the drift. */
  void leaseRenewed() {
    suspect = false;
  }

  boolean isSuspect() {
    return suspect;
  }
}
