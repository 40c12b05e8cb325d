package io.sequoiapass.daemon.connection;

/** Names what is wrong with a request that HTTP itself refuses. */
public enum HttpFault {
  /** The request is no HTTP. */
  MALFORMED(400),
  /** The request line is too long. */
  LINE_TOO_LONG(414),
  /** The headers are too large. */
  HEADERS_TOO_LARGE(431),
  /** The body is too large. */
  BODY_TOO_LARGE(413);

  private final int status;

  HttpFault(int status) {
    this.status = status;
  }

  /** Returns the status code to answer with. */
  public int status() {
    return status;
  }
}
