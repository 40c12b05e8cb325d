package io.sequoiapass.coordination.process;

/**
 * How often all daemons together may send requests of one service once more: in every window,
 * {@code ratio} times its requests plus {@code slack}.
 *
 * <p>Each daemon earns retries with the requests that it accepts, see {@link RetryAllowance}. The
 * slack belongs to the data centres in equal parts, whose coordinators lease it to daemons, see
 * {@link RetryLeaseAllocator}. Immutable and safe for use by several threads.
 *
 * @param ratio retries for each request
 * @param slack retries in a window in addition to the ratio
 * @param windowMs length of the windows, in milliseconds
 */
public record RetryTerms(double ratio, double slack, long windowMs) {

  /** How long a lease is valid after it was asked for, in milliseconds. */
  static final long LEASE_MS = 2_500;

  /** How much later than another one a retry may arrive at an endpoint, in milliseconds. */
  private static final long ARRIVAL_DELAY_MS = 500;

  /**
   * Share of the slack that is leased. The rest covers retries that arrive after a longer delay.
   */
  private static final double LEASED_SHARE = 0.95;

  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if one is negative, or the window is empty
   */
  public RetryTerms {
    if (!(ratio >= 0) || !(slack >= 0) || windowMs <= 0) {
      throw new IllegalArgumentException(
          "ratio, slack, window: " + ratio + ", " + slack + ", " + windowMs);
    }
  }

  /** Returns how long a retry on borrowed slack occupies it, in milliseconds. */
  long occupiedMs() {
    return windowMs + ARRIVAL_DELAY_MS;
  }

  /** Returns how long slack may stay occupied after it was leased, in milliseconds. */
  long reservedMs() {
    return LEASE_MS + occupiedMs();
  }

  /**
   * Returns the retries that the coordinator of one data centre may lease.
   *
   * @param dataCentres number of data centres
   */
  int leasedBy(int dataCentres) {
    return (int) (LEASED_SHARE * slack / Math.max(1, dataCentres));
  }
}
