package io.sequoiapass.gateway.process;

/**
 * Decides when a daemon reads the leases while the links to some coordinators are missing.
 *
 * <pre>{@code
 * if (schedule.isDue(now)) {
 *   schedule.read(now);
 * }
 * }</pre>
 *
 * <p>All daemons of a region lose a coordinator at the same moment, and its successor comes seconds
 * later, so that reads at a fixed interval are as many as daemons times seconds. A daemon that
 * another coordinator tells of the successor reads rarely. Not safe for use by several threads.
 */
final class LeaseReadSchedule {

  /** Interval of a daemon that hears of no coordinator, in milliseconds. */
  static final long ALONE_MS = 700;

  /** Interval of a daemon that another coordinator tells of the successor, in milliseconds. */
  static final long TOLD_MS = 2_800;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private long lastRead = NEVER;

  /**
   * Returns whether to read now.
   *
   * @param told whether a connected coordinator reports the others' addresses
   * @param now the time, in milliseconds
   */
  boolean isDue(boolean told, long now) {
    return now - lastRead >= (told ? TOLD_MS : ALONE_MS);
  }

  /** Records that the leases are being read. */
  void read(long now) {
    lastRead = now;
  }
}
