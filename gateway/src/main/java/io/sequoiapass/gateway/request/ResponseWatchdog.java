package io.sequoiapass.gateway.request;

/**
 * Decides when to give up an endpoint that sends nothing for a request.
 *
 * <p>An endpoint that is stalled on all streams is given up early, otherwise the timeout applies. A
 * stall is confirmed by a second check, because after a pause of this process received data may
 * still be unread. Not safe for use by several threads.
 */
final class ResponseWatchdog {

  /** Pause between two looks, in milliseconds. */
  private static final long LOOK_MS = 250;

  /** What came in during a standstill has been read after this time, in milliseconds. */
  private static final long CONFIRM_MS = 50;

  private final long until;
  private boolean suspected;

  /**
   * Begins to watch.
   *
   * @param now the time, in milliseconds
   * @param abandonMs how long the endpoint may send nothing, in milliseconds
   */
  ResponseWatchdog(long now, long abandonMs) {
    until = now + abandonMs;
  }

  /**
   * Looks whether the endpoint is to be given up.
   *
   * @param endpointIsStalled whether it sends nothing to anybody
   * @param now the time, in milliseconds
   */
  boolean givesUp(boolean endpointIsStalled, long now) {
    boolean confirmed = suspected && endpointIsStalled;
    suspected = endpointIsStalled;
    return confirmed || now >= until;
  }

  /** Returns when to look again, in milliseconds from now. */
  long nextLookMs(long now) {
    long leftMs = until > now ? until - now : CONFIRM_MS;
    return Math.min(suspected ? CONFIRM_MS : LOOK_MS, leftMs);
  }
}
