package io.sequoiapass.coordination.process;

/**
 * Holds the times of {@link Membership}, checked against one another.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param heartbeatEveryMillis time between two heartbeats to each peer; with 33 peers and 60 bytes
 *     a heartbeat on a kept connection, 1000 ms cost 2 KB/s of the budget of 3 KB/s
 * @param suspectAfterMillis silence after which a peer is suspected; above two heartbeats, so that
 *     one late heartbeat moves no work
 * @param deadAfterMillis silence after which work goes elsewhere
 * @param forgetAfterMillis silence after which a dead peer is no longer remembered; well above any
 *     outage of a switch, so that a cut-off peer is still awaited
 */
public record MembershipSettings(
    long heartbeatEveryMillis,
    long suspectAfterMillis,
    long deadAfterMillis,
    long forgetAfterMillis) {

  /** The settings for data centres of up to 34 daemons. */
  public static final MembershipSettings DEFAULT =
      new MembershipSettings(1_000, 2_500, 4_000, 3_600_000);

  /** Checks that each time leaves room for the one before it. */
  public MembershipSettings {
    if (heartbeatEveryMillis <= 0) {
      throw new IllegalArgumentException("heartbeatEvery must be > 0: " + heartbeatEveryMillis);
    }
    if (suspectAfterMillis < 2 * heartbeatEveryMillis) {
      throw new IllegalArgumentException(
          "suspectAfter must cover two heartbeats: " + suspectAfterMillis);
    }
    if (deadAfterMillis <= suspectAfterMillis) {
      throw new IllegalArgumentException("deadAfter must exceed suspectAfter: " + deadAfterMillis);
    }
    if (forgetAfterMillis <= deadAfterMillis) {
      throw new IllegalArgumentException("forgetAfter must exceed deadAfter: " + forgetAfterMillis);
    }
  }
}
