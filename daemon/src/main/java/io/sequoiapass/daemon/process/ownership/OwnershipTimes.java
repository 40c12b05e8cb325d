package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.process.LeaseSettings;
import io.sequoiapass.coordination.process.MembershipSettings;

/**
 * Timing parameters of leases and heartbeats, derived from the operators' settings.
 *
 * @param lease timing of leases
 * @param membership timing of heartbeats within the data centre
 * @param tableReadMs interval between two reads of the ownership table from the platform, in
 *     milliseconds; peers push changes, so this only bounds the staleness of a daemon that its
 *     peers cannot reach
 */
public record OwnershipTimes(LeaseSettings lease, MembershipSettings membership, long tableReadMs) {

  private static final long MEMBER_RETENTION_MS = 3_600_000;
  private static final long TABLE_READ_INTERVAL_MS = 2_000;

  /**
   * Returns the timing for a lease duration and a heartbeat interval, all in milliseconds.
   *
   * @param leaseDurationMs validity of a lease after a renewal
   * @param leaseMarginMs safety margin before the expiry, within which the lease is not used
   * @param heartbeatMs interval between two heartbeats
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
        new MembershipSettings(
            heartbeatMs, heartbeatMs * 5 / 2, heartbeatMs * 4, MEMBER_RETENTION_MS);
    return new OwnershipTimes(lease, membership, TABLE_READ_INTERVAL_MS);
  }
}
