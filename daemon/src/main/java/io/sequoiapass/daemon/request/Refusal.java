package io.sequoiapass.daemon.request;

import io.sequoiapass.coordination.request.ErrorKind;

/** Tells that a caller's request cannot be accepted as it is. */
public final class Refusal extends Exception {

  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;

  /**
   * Makes a refusal.
   *
   * @param kind what is wrong
   * @param detail the value that is wrong and what is allowed
   */
  public Refusal(ErrorKind kind, String detail) {
    super(detail);
    this.kind = kind;
  }

  /** Returns what is wrong. */
  public ErrorKind kind() {
    return kind;
  }
}
