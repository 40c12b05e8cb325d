package io.sequoiapass.daemon.connection;

/**
 * Tells that an HTTP call got no whole answer, and whether its request may have reached the server.
 */
public final class HttpFailure extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean mayHaveReached;

  /**
   * Makes a failure.
   *
   * @param message what happened
   * @param mayHaveReached whether any byte of the request was handed to a connection
   */
  public HttpFailure(String message, boolean mayHaveReached) {
    super(message);
    this.mayHaveReached = mayHaveReached;
  }

  /** Returns false only if no byte of the request was handed to a connection. */
  public boolean mayHaveReached() {
    return mayHaveReached;
  }
}
