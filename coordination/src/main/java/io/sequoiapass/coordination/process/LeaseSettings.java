package io.sequoiapass.coordination.process;

/**
 * Timing settings of leases, validated against one another.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param durationMillis the validity of a renewal; bounds the time without an owner after a daemon
 *     is killed
 * @param renewIntervalMillis the interval between renewals; with 400 daemons, 4000 ms cause 100
 *     writes per second, while the platform accepts several hundred
 * @param callTimeoutMillis the timeout of a renewal call
 * @param marginMillis the time that a holder leaves unused at the end of each renewal; covers
 *     clocks that run at different speeds and the delay between the lease check and the write of an
 *     order
 * @param maxPauseMillis the gap between two readings of the local clock above which the process
 *     counts as paused
 * @param outAfterMillis the time without an answer after which the platform counts as out
 * @param reportMaxAgeMillis the maximum age of a peer's report that the platform is out
 */
public record LeaseSettings(
    long durationMillis,
    long renewIntervalMillis,
    long callTimeoutMillis,
    long marginMillis,
    long maxPauseMillis,
    long outAfterMillis,
    long reportMaxAgeMillis) {

  /** The settings for 400 daemons. */
  public static final LeaseSettings DEFAULT =
      new LeaseSettings(10_000, 4_000, 1_000, 1_000, 2_000, 6_000, 3_000);

  /** Checks that the settings are consistent. */
  public LeaseSettings {
    require(callTimeoutMillis > 0, "callTimeout must be > 0", callTimeoutMillis);
    require(marginMillis > 0, "margin must be > 0", marginMillis);
    require(maxPauseMillis > 0, "maxPause must be > 0", maxPauseMillis);
    require(
        renewIntervalMillis > callTimeoutMillis,
        "renewInterval must exceed callTimeout",
        renewIntervalMillis);
    require(
        durationMillis >= renewIntervalMillis + 2 * callTimeoutMillis + marginMillis,
        "duration must allow a second renewal attempt",
        durationMillis);
    require(
        outAfterMillis > renewIntervalMillis + callTimeoutMillis,
        "outAfter must exceed the time between two answers",
        outAfterMillis);
    // A peer takes over only after it has reached the platform for a full lease duration. A report
    // of an outage that is younger than this proves that the peer has not taken over.
    require(
        reportMaxAgeMillis + marginMillis < durationMillis,
        "reportMaxAge plus margin must be less than duration",
        reportMaxAgeMillis);
  }

  private static void require(boolean holds, String rule, long value) {
    if (!holds) {
      throw new IllegalArgumentException(rule + ": " + value);
    }
  }
}
