package io.sequoiapass.gateway.request;

/**
 * Detects that an endpoint has stopped responding to a request.
 *
 * <p>If the endpoint is stalled on all its streams, the request times out early; otherwise the
 * timeout applies. A stall is confirmed by a second check, because after a pause of this process
 * received data may still be unread. Not safe for use by several threads.
 */
final class ResponseWatchdog {

  /** Interval between two checks, in milliseconds. */
  private static final long CHECK_INTERVAL_MS = 250;

  /** Delay after which data received during a process pause has been read, in milliseconds. */
  private static final long CONFIRM_DELAY_MS = 50;

  private final long timeoutAt;
  private boolean suspected;

  /**
   * Starts the timeout.
   *
   * @param now the time, in milliseconds
   * @param timeoutMs how long the endpoint may send nothing, in milliseconds
   */
  ResponseWatchdog(long now, long timeoutMs) {
    timeoutAt = now + timeoutMs;
  }

  /**
   * Returns whether the request has timed out; called at each check.
   *
   * @param endpointIsStalled whether the endpoint sends nothing on any stream
   * @param now the time, in milliseconds
   */
  boolean checkTimeout(boolean endpointIsStalled, long now) {
    boolean confirmed = suspected && endpointIsStalled;
    suspected = endpointIsStalled;
    return confirmed || now >= timeoutAt;
  }

  /** Returns the delay until the next check, in milliseconds. */
  long nextCheckMs(long now) {
    long leftMs = timeoutAt > now ? timeoutAt - now : CONFIRM_DELAY_MS;
    return Math.min(suspected ? CONFIRM_DELAY_MS : CHECK_INTERVAL_MS, leftMs);
  }
}
