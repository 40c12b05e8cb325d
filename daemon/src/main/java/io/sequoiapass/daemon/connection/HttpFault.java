package io.sequoiapass.daemon.connection;

/** Reason for which a request is rejected at the HTTP layer. */
public enum HttpFault {
  /** The request is not valid HTTP. */
  MALFORMED(400),
  /** The request line is too long. */
  LINE_TOO_LONG(414),
  /** The headers are too large. */
  HEADERS_TOO_LARGE(431),
  /** The body is too large. */
  BODY_TOO_LARGE(413),
  /** There is no room for the body; it was not read. */
  NO_MEMORY(503),
  /** An exception was thrown while the request was handled; it may have run. */
  INTERNAL(500);

  private final int status;

  HttpFault(int status) {
    this.status = status;
  }

  /** Returns the status code of the response. */
  public int status() {
    return status;
  }
}
