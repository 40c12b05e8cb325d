package io.sequoiapass.daemon.process.command;

import java.util.Objects;

/** Thrown to end a command with an exit code and a message for the operator. */
final class CommandException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  CommandException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = Objects.requireNonNull(exitCode, "exitCode");
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
