package io.sequoiapass.daemon;

import io.sequoiapass.daemon.process.command.Command;

/** Starts the command that the first argument names. */
public final class Main {

  private Main() {}

  /**
   * Runs one command and exits with its code.
   *
   * @param arguments the command's name and its flags
   */
  public static void main(String[] arguments) {
    System.exit(Command.dispatch(arguments));
  }
}
