package io.sequoiapass.daemon;

import io.sequoiapass.daemon.process.command.Command;

/** Entry point; runs the command named by the first argument. */
public final class Main {

  private Main() {}

  /**
   * Runs one command and exits with its code.
   *
   * @param arguments the name of the command and its flags
   */
  public static void main(String[] arguments) {
    System.exit(Command.dispatch(arguments));
  }
}
