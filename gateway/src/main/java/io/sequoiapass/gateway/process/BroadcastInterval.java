package io.sequoiapass.gateway.process;

/**
 * Interval between status messages of daemons and coordinators.
 *
 * <p>Bounds the coordinator's message rate as the fleet grows: it exchanges messages with every
 * daemon, and at 79 daemons and seven messages a second each, a host with 0.36 of a core did
 * nothing else. Data is older at longer intervals, but each daemon of a large fleet sends little.
 * The methods are pure.
 */
final class BroadcastInterval {

  /** Duration of one round, in milliseconds. */
  static final long ROUND_MS = 150;

  /** Number of daemons that adds one round to the interval. */
  private static final int DAEMONS_PER_ROUND = 32;

  /** Longest interval, in rounds; a link without messages for a second is closed. */
  private static final int MAX_ROUNDS = 3;

  /** Largest number of daemons that get every placement update immediately. */
  private static final int MAX_BROADCAST_DAEMONS = 10;

  private BroadcastInterval() {}

  /** Returns the number of rounds between two messages. */
  static int rounds(int daemons) {
    return Math.min(MAX_ROUNDS, 1 + daemons / DAEMONS_PER_ROUND);
  }

  /** Returns the time between two messages, in milliseconds. */
  static long intervalMs(int daemons) {
    return ROUND_MS * rounds(daemons);
  }

  /** Returns whether placement updates go to all daemons immediately, not just to subscribers. */
  static boolean broadcastsImmediately(int daemons) {
    return daemons <= MAX_BROADCAST_DAEMONS;
  }
}
