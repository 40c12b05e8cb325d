package io.sequoiapass.gateway.process;

/**
 * Says how often daemons and coordinators tell each other what they do.
 *
 * <p>A coordinator hears and tells every daemon, so at a fixed pace its work grows with the fleet
 * while the hosts stay small: at 79 daemons and seven times a second its host, of 0.36 of a core,
 * was busy with nothing else. What is told ages with the pace, but with many daemons each sends
 * little. The methods are pure.
 */
final class TellingPace {

  /** Daemons for each of which a round is left out. */
  private static final int DAEMONS_A_ROUND = 32;

  /** At most so many rounds pass; a coordinator that is silent for a second is given up. */
  private static final int MOST_ROUNDS = 3;

  /** With this many daemons or fewer, news of adapters is told to all at once. */
  private static final int FEW_DAEMONS = 10;

  private TellingPace() {}

  /** Returns the number of rounds from one telling to the next. */
  static int rounds(int daemons) {
    return Math.min(MOST_ROUNDS, 1 + daemons / DAEMONS_A_ROUND);
  }

  /** Returns whether news of adapters goes to all daemons at once, not just to those that asked. */
  static boolean tellsAtOnce(int daemons) {
    return daemons <= FEW_DAEMONS;
  }
}
