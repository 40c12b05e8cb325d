package io.sequoiapass.testbed.measure;

import io.sequoiapass.testbed.cli.Flags;
import io.sequoiapass.testbed.cli.UsageException;
import io.sequoiapass.testbed.load.LoadPlan;
import java.io.IOException;
import java.util.List;

/** Topics that can be measured, each with its flags. */
public enum MeasureTopic {
  /** Latency that daemons add to the first token. */
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
  /** Results that callers receive, compared with what ran, under faults. */
  FAULTS {
    @Override
    Flags.Definition definition() {
      return Flags.define()
          .flag("seconds", "190", "duration of the load in seconds")
          .flag("rate", "110", "requests a second")
          .flag("seed", "1", "seed of the load and of the faults")
          .flag("only", "", "a single kind of fault to inject, such as KILL_DAEMON; default all");
    }

    @Override
    int run(Flags flags) throws UsageException, IOException, InterruptedException {
      return new FaultsMeasurement(
              FaultKind.named(flags.text("only")),
              flags.integer("seconds", 10, 3_600),
              flags.integer("rate", 1, 10_000),
              flags.integer("seed", 0, Integer.MAX_VALUE))
          .run();
    }
  },
  /** Resource usage of a daemon. */
  DAEMON {
    @Override
    Flags.Definition definition() {
      return common()
          .flag("rate", "65", "requests a second to each daemon; then three times that")
          .flag("tokens", "238", "tokens of an answer on average")
          .flag("daemon-flags", "", "flags of the daemons, separated by spaces")
          .flag(
              "jvm",
              "",
              "JVM flags of the daemons, separated by spaces; -Dio.netty.transport.noNative=true"
                  + " leaves epoll out");
    }

    @Override
    int run(Flags flags) throws UsageException, IOException, InterruptedException {
      return new DaemonMeasurement(
              flags.integer("seconds", 1, 3_600),
              flags.integer("rate", 1, 10_000),
              flags.integer("tokens", 1, 10_000),
              flags.integer("seed", 0, Integer.MAX_VALUE),
              words(flags.text("daemon-flags")),
              words(flags.text("jvm")))
          .run();
    }
  },
  /** Goodput under overload, with and without admission control. */
  OVERLOAD {
    @Override
    Flags.Definition definition() {
      return common()
          .flag("deadline-ms", "1500", "deadline of each request")
          .flag("tokens", "5", "tokens of an answer on average")
          .flag("step-micros", "40000", "an engine step's cost before any stream");
    }

    @Override
    int run(Flags flags) throws UsageException, IOException, InterruptedException {
      return new OverloadMeasurement(
              flags.integer("seconds", 1, 3_600),
              flags.integer("deadline-ms", 100, 60_000),
              flags.integer("tokens", 1, 10_000),
              flags.integer("step-micros", 0, 1_000_000),
              flags.integer("seed", 0, Integer.MAX_VALUE))
          .run();
    }
  },
  /** Cost of the control plane for an idle daemon. */
  CONTROL {
    @Override
    Flags.Definition definition() {
      return Flags.define()
          .flag("seconds", "15", "how long to measure at each size")
          .flag("warm-up", "45", "seconds before that, in which code is compiled")
          .flag("daemons", "4,8,17,34", "daemons of the data centre, a run each")
          .flag("engines", "4", "endpoints for each daemon")
          .flag("lease-ms", "10000", "duration of a lease")
          .flag("heartbeat-ms", "1000", "time between two heartbeats");
    }

    @Override
    int run(Flags flags) throws UsageException, IOException, InterruptedException {
      return new ControlMeasurement(
              flags.integer("seconds", 1, 3_600),
              flags.integer("warm-up", 0, 3_600),
              flags.integers("daemons", 1, 100),
              flags.integer("engines", 0, 100),
              flags.integer("lease-ms", 1_000, 60_000),
              flags.integer("heartbeat-ms", 100, 10_000))
          .run();
    }
  },
  /** Latency with adaptive placement and with the LRU baseline. */
  PLACEMENT {
    @Override
    Flags.Definition definition() {
      return common().flag("rate", "10", "requests a second to all daemons");
    }

    @Override
    int run(Flags flags) throws UsageException, IOException, InterruptedException {
      int rate = flags.integer("rate", 1, 1_000);
      int seed = flags.integer("seed", 0, 1_000_000);
      VariantMeasurement.Size size =
          new VariantMeasurement.Size(
              3,
              6,
              6,
              new LoadPlan(10, rate, 300, 1.2, 40, 0, 0, 0, seed + 1),
              new LoadPlan(flags.integer("seconds", 1, 600), rate, 300, 1.2, 40, 0, 0, 0, seed));
      return new VariantMeasurement(size).run("placement-policy", List.of("adaptive", "lru"));
    }
  },
  /** Cost of the time line: a ring buffer of the default and of the smallest size, twice each. */
  TIMELINE {
    @Override
    Flags.Definition definition() {
      return common().flag("rate", "130", "requests a second to both daemons");
    }

    @Override
    int run(Flags flags) throws UsageException, IOException, InterruptedException {
      int rate = flags.integer("rate", 1, 10_000);
      int seed = flags.integer("seed", 0, 1_000_000);
      VariantMeasurement.Size size =
          new VariantMeasurement.Size(
              2,
              10,
              40,
              new LoadPlan(10, rate, 20, 0, 20, 0, 0, 0, seed + 1),
              new LoadPlan(flags.integer("seconds", 1, 600), rate, 20, 0, 20, 0, 0, 0, seed));
      return new VariantMeasurement(size)
          .run("timeline-events", List.of("20000", "64", "20000", "64"));
    }
  },
  /** Time from the acceptance of a change by the platform until all daemons have applied it. */
  PROPAGATION {
    @Override
    Flags.Definition definition() {
      return common()
          .flag("data-centres", "3", "data centres")
          .flag("daemons", "8", "daemons in each")
          .flag("rate", "12", "changes a second in the burst");
    }

    @Override
    int run(Flags flags) throws UsageException, IOException, InterruptedException {
      return new PropagationMeasurement(
              flags.integer("seconds", 1, 3_600),
              flags.integer("data-centres", 1, 6),
              flags.integer("daemons", 2, 17),
              flags.integer("rate", 1, 1_000))
          .run();
    }
  },
  /** Rate of calls to the platform after it recovers from an outage. */
  RECOVERY {
    @Override
    Flags.Definition definition() {
      return common()
          .flag("data-centres", "3", "data centres")
          .flag("daemons", "8", "daemons in each")
          .flag("outage", "20", "seconds that the platform is out");
    }

    @Override
    int run(Flags flags) throws UsageException, IOException, InterruptedException {
      return new RecoveryMeasurement(
              flags.integer("seconds", 1, 3_600),
              flags.integer("data-centres", 1, 6),
              flags.integer("daemons", 2, 17),
              flags.integer("outage", 1, 600))
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

  private static List<String> words(String text) {
    return text.isBlank() ? List.of() : List.of(text.strip().split(" +", -1));
  }

  /** Returns the help text, with a line for each flag. */
  public String help() {
    return definition().help();
  }

  /**
   * Measures, prints the result and returns the exit code.
   *
   * @param arguments the flags
   * @throws UsageException if a flag is invalid
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
