package io.sequoiapass.daemon;

import io.sequoiapass.daemon.process.command.Command;

/** Entry point; runs the command named by the first argument. */
public final class Main {

  /** The command that reloads its settings on a signal. */
  private static final String SERVE = "serve";

  private Main() {}

  /**
   * Runs one command and exits with its code.
   *
   * @param arguments the name of the command and its flags
   */
  public static void main(String[] arguments) {
    if (arguments.length > 0 && arguments[0].equals(SERVE)) {
      // Before anything else is loaded, as the signal ends the process until then.
      ReloadSignal.ignore();
    }
    System.exit(Command.dispatch(arguments));
  }
}
