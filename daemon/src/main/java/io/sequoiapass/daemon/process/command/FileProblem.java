package io.sequoiapass.daemon.process.command;

/** Tells what is wrong in a configuration file and where, one problem a line. */
final class FileProblem extends Exception {

  private static final long serialVersionUID = 1L;

  FileProblem(String message) {
    super(message);
  }
}
