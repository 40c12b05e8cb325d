package io.sequoiapass.testbed.measure;

import io.sequoiapass.testbed.cli.Flags;
import io.sequoiapass.testbed.cli.UsageException;
import java.io.IOException;

/** Names what can be measured, each with its flags. */
public enum MeasureTopic {
  /** The time that daemons add before the first token. */
  LATENCY {
    @Override
    Flags.Definition definition() {
      return common().flag("rate", "200", "requests a second on each path");
    }

    @Override
    int run(Flags flags) throws UsageException, IOException, InterruptedException {
      return new LatencyMeasurement(
              flags.integer("seconds", 1, 3_600),
              flags.integer("rate", 1, 10_000),
              flags.integer("seed", 0, Integer.MAX_VALUE))
          .run();
    }
  },
  /** What callers are told, and what ran, while parts fail. */
  FAULTS {
    @Override
    Flags.Definition definition() {
      return Flags.define()
          .flag("seconds", "190", "how long requests come")
          .flag("rate", "110", "requests a second")
          .flag("seed", "1", "seed of the load and of the faults");
    }

    @Override
    int run(Flags flags) throws UsageException, IOException, InterruptedException {
      return new FaultsMeasurement(
              flags.integer("seconds", 10, 3_600),
              flags.integer("rate", 1, 10_000),
              flags.integer("seed", 0, Integer.MAX_VALUE))
          .run();
    }
  },
  /** What a daemon uses. */
  DAEMON {
    @Override
    Flags.Definition definition() {
      return common()
          .flag("rate", "65", "requests a second to each daemon; then three times that")
          .flag("tokens", "238", "tokens of an answer on average");
    }

    @Override
    int run(Flags flags) throws UsageException, IOException, InterruptedException {
      return new DaemonMeasurement(
              flags.integer("seconds", 1, 3_600),
              flags.integer("rate", 1, 10_000),
              flags.integer("tokens", 1, 10_000),
              flags.integer("seed", 0, Integer.MAX_VALUE))
          .run();
    }
  };

  abstract Flags.Definition definition();

  abstract int run(Flags flags) throws UsageException, IOException, InterruptedException;

  private static Flags.Definition common() {
    return Flags.define()
        .flag("seconds", "20", "how long to measure")
        .flag("seed", "1", "seed of the load");
  }

  /** Returns a line for each flag. */
  public String help() {
    return definition().help();
  }

  /**
   * Measures, prints the result and returns the exit code.
   *
   * @param arguments the flags
   * @throws UsageException if a flag is wrong
   * @throws IOException if a process fails
   * @throws InterruptedException if a wait is interrupted
   */
  public int measure(String... arguments) throws UsageException, IOException, InterruptedException {
    Flags flags = definition().parse(arguments);
    System.out.println("before: " + MachineLoad.line());
    int code = run(flags);
    System.out.println("after: " + MachineLoad.line());
    return code;
  }
}
