package io.sequoiapass.testbed;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import io.sequoiapass.testbed.cli.UsageException;
import io.sequoiapass.testbed.standin.StandIn;
import io.sequoiapass.testbed.standin.StandInKind;
import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Entry point of the testbed; runs the command named by the first argument.
 *
 * <p>Exit codes: 0 on success, 1 if the command's own check failed or it could not run, 2 for
 * invalid usage.
 */
public final class Testbed {

  private static final int FAILED = 1;
  private static final int INVALID_USAGE = 2;

  private Testbed() {}

  /**
   * Runs one command.
   *
   * @param arguments the command's name and its flags
   */
  public static void main(String[] arguments) {
    // Netty prefers SLF4J, which is on the class path without a back end and warns at each start.
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    System.exit(run(arguments));
  }

  private static Map<String, Command> commands() {
    Map<String, Command> commands = new LinkedHashMap<>();
    commands.put("platform", standIn(StandInKind.PLATFORM));
    commands.put("engine", standIn(StandInKind.ENGINE));
    commands.put("service", standIn(StandInKind.SERVICE));
    commands.put("weights", standIn(StandInKind.WEIGHTS));
    commands.put("proxy", new ProxyCommand());
    commands.put("demo", new DemoCommand());
    commands.put("measure", new MeasureCommand());
    commands.put("policy", new PolicyCommand());
    commands.put("capacity", new CapacityCommand());
    return commands;
  }

  private static int run(String[] arguments) {
    Map<String, Command> commands = commands();
    Command command = arguments.length == 0 ? null : commands.get(arguments[0]);
    if (command == null) {
      System.err.println("usage: testbed " + String.join("|", commands.keySet()) + " [flags]");
      return INVALID_USAGE;
    }
    String[] flags = Arrays.copyOfRange(arguments, 1, arguments.length);
    if (Arrays.asList(flags).contains("--help")) {
      System.out.print(command.help());
      return 0;
    }
    try {
      return command.run(flags);
    } catch (UsageException e) {
      System.err.println(e.getMessage());
      return INVALID_USAGE;
    } catch (IOException e) {
      System.err.println(e.getMessage());
      return FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return FAILED;
    }
  }

  private static Command standIn(StandInKind kind) {
    return new Command() {
      @Override
      public String help() {
        return kind.help();
      }

      @Override
      public int run(String... flags) throws UsageException, IOException, InterruptedException {
        try (StandIn standIn = StandIn.start(kind, flags)) {
          System.out.println("ready port=" + standIn.port());
          System.out.flush();
          Thread.currentThread().join();
        }
        return 0;
      }
    };
  }
}
