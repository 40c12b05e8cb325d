package io.sequoiapass.coordination.process;

/**
 * Holds the times of leases, checked against one another.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param durationMillis how long a renewal lasts; bounds the time without an owner after a kill
 * @param renewEveryMillis time between renewals; at 400 daemons 4000 ms are 100 writes a second of
 *     the platform's several hundred
 * @param callTimeoutMillis time after which the answer to a renewal is given up
 * @param marginMillis what a holder leaves unused of each renewal, against clocks that run at
 *     different speeds and the time between check and write
 * @param maxPauseMillis gap between two looks at the own clock that counts as a pause
 * @param outAfterMillis time without an answer after which the platform counts as out
 * @param evidenceMillis age up to which a peer's report that the platform is out is believed
 */
public record LeaseSettings(
    long durationMillis,
    long renewEveryMillis,
    long callTimeoutMillis,
    long marginMillis,
    long maxPauseMillis,
    long outAfterMillis,
    long evidenceMillis) {

  /** The settings for 400 daemons. */
  public static final LeaseSettings DEFAULT =
      new LeaseSettings(10_000, 4_000, 1_000, 1_000, 2_000, 6_000, 3_000);

  /** Checks that the times fit into one another. */
  public LeaseSettings {
    require(callTimeoutMillis > 0, "callTimeout must be > 0", callTimeoutMillis);
    require(marginMillis > 0, "margin must be > 0", marginMillis);
    require(maxPauseMillis > 0, "maxPause must be > 0", maxPauseMillis);
    require(
        renewEveryMillis > callTimeoutMillis,
        "renewEvery must exceed callTimeout",
        renewEveryMillis);
    require(
        durationMillis >= renewEveryMillis + 2 * callTimeoutMillis + marginMillis,
        "duration must leave room for a second try",
        durationMillis);
    require(
        outAfterMillis > renewEveryMillis + callTimeoutMillis,
        "outAfter must exceed the time between two answers",
        outAfterMillis);
    // A peer takes over only after a whole lease in contact with the platform, so a report that it
    // is out, younger than that, shows that it has not.
    require(
        evidenceMillis + marginMillis < durationMillis,
        "evidence and margin must stay below duration",
        evidenceMillis);
  }

  private static void require(boolean holds, String rule, long value) {
    if (!holds) {
      throw new IllegalArgumentException(rule + ": " + value);
    }
  }
}
