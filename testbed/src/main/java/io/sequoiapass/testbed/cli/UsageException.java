package io.sequoiapass.testbed.cli;

/** Thrown if a command is started with invalid flags. */
public final class UsageException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message description of the error and of the allowed values
   */
  public UsageException(String message) {
    super(message);
  }
}
