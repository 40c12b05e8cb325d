package io.sequoiapass.testbed;

/** Starts the command that the first argument names. */
public final class Testbed {

  private Testbed() {}

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
