package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.process.LeaseSettings;
import io.sequoiapass.coordination.process.MembershipSettings;

/**
 * Holds the times of leases and heartbeats, worked out from the two that operators set.
 *
 * @param lease times of leases
 * @param membership times of heartbeats within the data centre
 * @param tableReadMs between two reads of the ownership table from the platform, in milliseconds;
 *     peers push changes, so this only bounds how long a daemon that its peers do not reach stays
 *     behind
 */
public record OwnershipTimes(LeaseSettings lease, MembershipSettings membership, long tableReadMs) {

  private static final long FORGET_AFTER_MS = 3_600_000;
  private static final long TABLE_READ_MS = 2_000;

  /**
   * Returns the times that fit a lease and a heartbeat.
   *
   * @param leaseDurationMs how long a renewal lasts
   * @param leaseMarginMs how long before its end a lease is no longer used
   * @param heartbeatMs time between two heartbeats
   */
  public static OwnershipTimes of(long leaseDurationMs, long leaseMarginMs, long heartbeatMs) {
    long renewMs = leaseDurationMs / 3;
    long callMs = Math.min(1_000, (leaseDurationMs - renewMs - leaseMarginMs) / 2);
    LeaseSettings lease =
        new LeaseSettings(
            leaseDurationMs,
            renewMs,
            Math.min(callMs, renewMs - 1),
            leaseMarginMs,
            renewMs,
            renewMs + 2 * callMs,
            Math.min(3_000, leaseDurationMs - leaseMarginMs - 1));
    MembershipSettings membership =
        new MembershipSettings(heartbeatMs, heartbeatMs * 5 / 2, heartbeatMs * 4, FORGET_AFTER_MS);
    return new OwnershipTimes(lease, membership, TABLE_READ_MS);
  }
}
