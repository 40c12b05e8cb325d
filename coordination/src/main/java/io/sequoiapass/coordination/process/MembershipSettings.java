package io.sequoiapass.coordination.process;

/**
 * Timing settings of {@link Membership}, validated against one another.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param heartbeatIntervalMillis the interval between two heartbeats to each peer; with 33 peers
 *     and 60 bytes per heartbeat on a persistent connection, 1000 ms use 2 KB/s of the budget of 3
 *     KB/s
 * @param suspectAfterMillis the time without a heartbeat after which a peer is suspected; above two
 *     heartbeat intervals, so that one late heartbeat moves no work
 * @param deadAfterMillis the time without a heartbeat after which work is sent to other daemons
 * @param forgetAfterMillis the time without a heartbeat after which a dead peer is removed; well
 *     above any outage of a network switch, so that a partitioned peer remains a member
 */
public record MembershipSettings(
    long heartbeatIntervalMillis,
    long suspectAfterMillis,
    long deadAfterMillis,
    long forgetAfterMillis) {

  /** The settings for data centres of up to 34 daemons. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(1_000, 2_500, 4_000, 3_600_000);

  /** Checks that each time is long enough for the one before it. */
  public MembershipSettings {
    if (heartbeatIntervalMillis <= 0) {
      throw new IllegalArgumentException(
          "heartbeatInterval must be > 0: " + heartbeatIntervalMillis);
    }
    if (suspectAfterMillis < 2 * heartbeatIntervalMillis) {
      throw new IllegalArgumentException(
          "suspectAfter must cover two heartbeat intervals: " + suspectAfterMillis);
    }
    if (deadAfterMillis <= suspectAfterMillis) {
      throw new IllegalArgumentException("deadAfter must exceed suspectAfter: " + deadAfterMillis);
    }
    if (forgetAfterMillis <= deadAfterMillis) {
      throw new IllegalArgumentException("forgetAfter must exceed deadAfter: " + forgetAfterMillis);
    }
  }
}
