package io.sequoiapass.gateway.request;

/**
 * Decides whether a request that waited for its adapter has to be delayed before it is sent.
 *
 * <p>After a pause of this process, a placement update may be handled before the closed connection
 * of a caller is read, and the request would run for nobody. A short delay lets the event loop read
 * all connections first. The methods are pure.
 */
final class ResumeDelay {

  /** Time in which the loop reads all connections once more, in milliseconds. */
  static final long READ_MS = 2;

  /** A timer that fires this much too late was held up by a standstill, in milliseconds. */
  private static final long STANDSTILL_MS = 200;

  private ResumeDelay() {}

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
