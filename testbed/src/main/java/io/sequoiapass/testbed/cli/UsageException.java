package io.sequoiapass.testbed.cli;

/** Tells that a command was started with wrong flags. */
public final class UsageException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Makes an exception.
   *
   * @param message what is wrong and what is allowed
   */
  public UsageException(String message) {
    super(message);
  }
}
