package io.sequoiapass.daemon;

/** Starts the command that the first argument names. */
public final class Main {

  private Main() {}

  /**
   * Runs one command.
   *
   * @param arguments the command's name and its flags
   */
  public static void main(String[] arguments) {
    System.err.println("no command yet");
    System.exit(2);
  }
}
