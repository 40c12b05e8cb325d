package io.sequoiapass.daemon.request;

import io.sequoiapass.coordination.request.ErrorKind;

/** Thrown if a caller's request is invalid or not allowed. */
public final class InvalidRequestException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;

  /**
   * Creates an exception.
   *
   * @param kind the kind of error
   * @param detail the invalid value and the allowed ones
   */
  public InvalidRequestException(ErrorKind kind, String detail) {
    super(detail);
    this.kind = kind;
  }

  /** Returns the kind of error. */
  public ErrorKind kind() {
    return kind;
  }
}
