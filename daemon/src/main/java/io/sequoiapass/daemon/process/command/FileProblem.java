package io.sequoiapass.daemon.process.command;

/**
 * Thrown for an invalid configuration file; the message has one problem with its position per line.
 */
final class FileProblem extends Exception {

  private static final long serialVersionUID = 1L;

  FileProblem(String message) {
    super(message);
  }
}
