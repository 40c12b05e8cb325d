package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;

/**
 * Notices that the host was suspended: its monotonic clock stands still meanwhile, and the wall
 * clock does not.
 *
 * <p>A holder that resumes up would else take its lease for fresh and order endpoints that another
 * orders by now. A jump of the wall clock looks the same and costs one renewal of the lease. Not
 * safe for use by several threads.
 */
final class FreezeDetector {

  /** Drift between the clocks that counts, in milliseconds; far above what scheduling causes. */
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

  /** Returns whether the clocks have drifted apart since the last call; holds orders back if so. */
  boolean noticed() {
    long current = wall.millis() - monotonic.millis();
    boolean drifted = Math.abs(current - offset) > DRIFT_MS;
    offset = drifted ? current : offset;
    suspect |= drifted;
    return drifted;
  }

  /** The lease was renewed after the drift. */
  void trust() {
    suspect = false;
  }

  boolean isSuspect() {
    return suspect;
  }
}
