package io.sequoiapass.coordination.process;

/**
 * A coordinator leases retries to a daemon, which replaces its earlier lease.
 *
 * @param claim number of the claim that it answers
 * @param leased number of retries, including those that the daemon keeps
 * @param fair number of retries that the daemon should hold; it releases unused ones above that
 */
public record RetryGrant(long claim, int leased, int fair) {

  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if a number of retries is negative
   */
  public RetryGrant {
    if (leased < 0 || fair < 0) {
      throw new IllegalArgumentException("leased " + leased + ", fair " + fair);
    }
  }
}
