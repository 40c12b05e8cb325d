package io.sequoiapass.gateway.request;

/**
 * Says when a request that waits for its adapter goes on once it is woken; the methods are pure.
 *
 * <p>A process that stood still finds, all at once, the news that an adapter is there and that the
 * callers who waited for it have left. Woken by the news before the loop has read the end of its
 * caller's connection, a request would be sent to an engine for nobody. So it goes on a moment
 * later, when all connections have been read once more; and a timer that fires long after its time
 * says that the process stood still.
 */
final class WakeTime {

  /** Time in which the loop reads all connections once more, in milliseconds. */
  static final long READ_MS = 2;

  /** A timer that fires this much too late was held up by a standstill, in milliseconds. */
  private static final long STANDSTILL_MS = 200;

  private WakeTime() {}

  /**
   * Returns whether connections have to be read first.
   *
   * @param dueAt when the timer was to fire, in milliseconds
   * @param now when it fired, in milliseconds
   */
  static boolean isAfterStandstill(long dueAt, long now) {
    return now - dueAt > STANDSTILL_MS;
  }
}
