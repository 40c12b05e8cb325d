package io.sequoiapass.gateway.request;

/**
 * Decides whether a request that has waited for its adapter is delayed before it is sent.
 *
 * <p>After a pause of this process, a placement update may be handled before the closed connection
 * of a caller is read, and the request would run for a caller that has left. A short delay lets the
 * event loop read all connections first. The methods are pure.
 */
final class ResumeDelay {

  /** Time in which the event loop reads all connections once, in milliseconds. */
  static final long READ_DELAY_MS = 2;

  /** A timer that fires this much too late was delayed by a process pause, in milliseconds. */
  private static final long PAUSE_THRESHOLD_MS = 200;

  private ResumeDelay() {}

  /**
   * Returns whether a timer was delayed by a process pause, so that connections are read first.
   *
   * @param dueAt when the timer was due, in milliseconds
   * @param now when it fired, in milliseconds
   */
  static boolean isAfterPause(long dueAt, long now) {
    return now - dueAt > PAUSE_THRESHOLD_MS;
  }
}
