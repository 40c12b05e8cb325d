package io.sequoiapass.daemon.connection;

/**
 * Thrown when an HTTP call has no complete response; reports whether its request may have reached
 * the server.
 */
public final class HttpFailure extends Exception {

  private static final long serialVersionUID = 1L;

  private final boolean mayHaveReached;

  /**
   * Creates a failure.
   *
   * @param message the cause
   * @param mayHaveReached whether any byte of the request was passed to a connection
   */
  public HttpFailure(String message, boolean mayHaveReached) {
    super(message);
    this.mayHaveReached = mayHaveReached;
  }

  /** Returns false only if no byte of the request was passed to a connection. */
  public boolean mayHaveReached() {
    return mayHaveReached;
  }
}
