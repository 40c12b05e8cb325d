package io.sequoiapass.testbed;

import io.sequoiapass.testbed.policy.PolicyBench;
import java.util.Arrays;

/** Starts the command that the first argument names. */
public final class Testbed {

  private Testbed() {}

  /**
   * Runs one command.
   *
   * @param arguments the command's name and its flags
   */
  public static void main(String[] arguments) {
    if (arguments.length > 0 && arguments[0].equals("policy")) {
      System.exit(PolicyBench.run(Arrays.copyOfRange(arguments, 1, arguments.length)));
    }
    System.err.println("no command yet");
    System.exit(2);
  }
}
