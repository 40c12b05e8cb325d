package io.sequoiapass.gateway.request;

/**
 * Decides when an endpoint that says nothing to a request is given up.
 *
 * <p>A request alone has to be patient: a long prompt before it may keep an engine from answering.
 * Where an endpoint says nothing to any of the streams that it carries for this daemon, it is dark,
 * and all of them go on elsewhere within half a second rather than after the patience of each. It
 * is looked at twice: after a standstill of this process what the endpoint said lies unread for a
 * moment. Not safe for use by several threads.
 */
final class WordWatch {

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
   * @param patienceMs how long the endpoint may say nothing, in milliseconds
   */
  WordWatch(long now, long patienceMs) {
    until = now + patienceMs;
  }

  /**
   * Looks whether the endpoint is to be given up.
   *
   * @param endpointIsSilent whether it says nothing to anybody
   * @param now the time, in milliseconds
   */
  boolean givesUp(boolean endpointIsSilent, long now) {
    boolean confirmed = suspected && endpointIsSilent;
    suspected = endpointIsSilent;
    return confirmed || now >= until;
  }

  /** Returns when to look again, in milliseconds from now. */
  long nextLookMs(long now) {
    return Math.max(1, Math.min(suspected ? CONFIRM_MS : LOOK_MS, until - now));
  }
}
