package io.sequoiapass.gateway.process;

/**
 * Detects that an endpoint sends nothing although requests of this daemon are open there.
 *
 * <p>A silent endpoint may be sound and continue; requests that look for another one do not go
 * there meanwhile. Not safe for use by several threads.
 */
final class EndpointSilence {

  /** Shortest silence, in milliseconds; plain endpoints answer within a few. */
  private static final long SILENT_MS = 200;

  private int open;
  private long since;

  /** Records that a request is sent. */
  void sent(long now) {
    if (open == 0) {
      since = now;
    }
    open++;
  }

  /** Records that something was received. */
  void received(long now) {
    since = now;
  }

  /** Records that a request has ended. */
  void ended() {
    open--;
  }

  /** Returns whether the endpoint has sent nothing for some time. */
  boolean isSilent(long now) {
    return open > 0 && now - since >= SILENT_MS;
  }
}
