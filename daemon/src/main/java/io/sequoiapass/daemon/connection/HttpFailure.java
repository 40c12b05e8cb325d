package io.sequoiapass.daemon.connection;

import java.net.InetSocketAddress;

/**
 * Thrown when an HTTP call has no complete response; reports whether its request may have reached
 * the server.
 */
public final class HttpFailure extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean mayHaveReached;
  private final boolean timedOut;

  /**
   * Creates a failure.
   *
   * @param message the cause
   * @param mayHaveReached whether any byte of the request was passed to a connection
   */
  public HttpFailure(String message, boolean mayHaveReached) {
    this(message, mayHaveReached, false);
  }

  private HttpFailure(String message, boolean mayHaveReached, boolean timedOut) {
    super(message);
    this.mayHaveReached = mayHaveReached;
    this.timedOut = timedOut;
  }

  /**
   * Returns the failure of a call that was not complete in time.
   *
   * @param call the call
   * @param mayHaveReached whether any byte of the request was passed to a connection
   */
  public static HttpFailure timedOut(HttpCall call, boolean mayHaveReached) {
    return new HttpFailure(
        "timed out before the response was complete: " + call, mayHaveReached, true);
  }

  /**
   * Returns the failure of a call whose connection was not open in time.
   *
   * @param address the server's address
   */
  static HttpFailure notOpenedInTime(InetSocketAddress address) {
    return new HttpFailure("cannot connect in time to " + address, false, true);
  }

  /** Returns false only if no byte of the request was passed to a connection. */
  public boolean mayHaveReached() {
    return mayHaveReached;
  }

  /** Returns whether the time was up, on a connection that was open or still opening. */
  public boolean isTimedOut() {
    return timedOut;
  }
}
