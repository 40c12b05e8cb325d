package io.sequoiapass.testbed.policy;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;

/**
 * Compares placement policies on the same arrivals, in one process and in virtual time.
 *
 * <pre>{@code
 * ./run policy --scenario flip --seeds 101-105 --csv target/policy.csv
 * }</pre>
 */
public final class PolicyBench {

  private static final int USAGE_EXIT_CODE = 2;
  private static final double MEDIAN = 50;
  private static final double P95 = 95;
  private static final double P99 = 99;

  private PolicyBench() {}

  /**
   * Runs the comparison.
   *
   * @param args the flags
   * @return the exit code: 0, or 2 if a flag is invalid
   */
  public static int run(String[] args) {
    try {
      CommandLine line = new DefaultParser().parse(options(), args);
      if (line.hasOption("help")) {
        HelpFormatter.builder().get().printHelp("./run policy", "", options(), "", true);
        return 0;
      }
      Settings settings = Settings.of(line);
      List<String> csv = new ArrayList<>();
      csv.add(
          "user,scenario,seed,policy,stall_s,p50_ms,p95_ms,p99_ms,deadline_p95_ms,"
              + "batch_efficiency,loads,evictions,goodput_per_s,lost");
      for (User user : settings.users()) {
        for (Scenario scenario : settings.scenarios()) {
          compare(settings, user, scenario, csv, System.out);
        }
      }
      if (settings.csv() != null) {
        Files.write(Path.of(settings.csv()), csv);
      }
      return 0;
    } catch (ParseException | IllegalArgumentException | IOException e) {
      System.err.println("policy: " + e.getMessage());
      return USAGE_EXIT_CODE;
    }
  }

  private static void compare(
      Settings settings, User user, Scenario scenario, List<String> csv, PrintStream out) {
    out.printf(
        "%-12s %-14s %6s %-13s %10s %6s %6s %6s %8s %7s %6s %6s %8s %5s%n",
        "user",
        "scenario",
        "seed",
        "policy",
        "stall s",
        "p50",
        "p95",
        "p99",
        "dl p95",
        "batch",
        "loads",
        "evict",
        "good/s",
        "lost");
    SimulationConfig config = settings.config(user);
    Map<Policies, double[]> totals = new EnumMap<>(Policies.class);
    for (long seed : settings.seeds()) {
      List<Workload.Arrival> arrivals = Workload.generate(config, scenario, seed);
      for (Policies policy : settings.policies()) {
        Policy used = policy.create(config, seed, arrivals);
        Score score = new Simulation(config, scenario, seed, used).run(arrivals);
        double[] sum = totals.computeIfAbsent(policy, p -> new double[2]);
        sum[0] += score.stallSeconds();
        sum[1] += score.batchEfficiency() / settings.seeds().size();
        String row = row(user, scenario, seed, policy, score);
        out.println(row);
        if (settings.breakdown()) {
          out.println(score.breakdown());
        }
        csv.add(row.trim().replaceAll(" +", ","));
      }
    }
    double[] reference = totals.get(settings.policies().get(0));
    for (Policies policy : settings.policies()) {
      double[] other = totals.get(policy);
      out.printf(
          Locale.ROOT,
          "%-12s %-14s %s against %-13s stall %.3f  batch efficiency %.3f%n",
          user,
          scenario,
          settings.policies().get(0),
          policy,
          reference[0] / other[0],
          reference[1] / other[1]);
    }
  }

  private static String row(User user, Scenario scenario, long seed, Policies policy, Score score) {
    return String.format(
        Locale.ROOT,
        "%-12s %-14s %6s %-13s %10.1f %6d %6d %6d %8d %7.3f %6d %6d %8.2f %5d",
        user,
        scenario,
        seed,
        policy,
        score.stallSeconds(),
        score.stallMsAtPercentile(MEDIAN),
        score.stallMsAtPercentile(P95),
        score.stallMsAtPercentile(P99),
        score.deadlineStallMsAtPercentile(P95),
        score.batchEfficiency(),
        score.loads(),
        score.evictions(),
        score.goodputPerSecond(),
        score.lost());
  }

  private static Options options() {
    Options options = new Options();
    options.addOption(null, "help", false, "print the flags");
    options.addOption(null, "user", true, "yards, cooperativa or both (both)");
    options.addOption(
        null, "scenario", true, "ordinary, peak, flip, cold-half, load-failures or all (all)");
    options.addOption(null, "zipf", true, "exponent of popularity (1.2)");
    options.addOption(null, "adapters", true, "adapters of the main model (3000)");
    options.addOption(null, "slots", true, "slots of an engine (8)");
    options.addOption(null, "streams", true, "streams of an engine (16)");
    options.addOption(null, "owners", true, "daemons that share the engines (7)");
    options.addOption(null, "runners", true, "engines of the main model (13)");
    options.addOption(null, "second", true, "engines of the second model (3)");
    options.addOption(null, "rate", true, "arrivals a second (by user)");
    options.addOption(null, "seeds", true, "first-last (1-3)");
    options.addOption(
        null, "policies", true, "names with commas, the first is compared with the others (all)");
    options.addOption(null, "seconds", true, "length of a run (600)");
    options.addOption(null, "breakdown", false, "print what the stall seconds were spent on");
    options.addOption(null, "csv", true, "file to write");
    return options;
  }

  /** Parsed flags. */
  private record Settings(
      CommandLine line, List<User> users, List<Scenario> scenarios, List<Long> seeds, String csv) {

    static Settings of(CommandLine line) {
      String user = line.getOptionValue("user", "both").toUpperCase(Locale.ROOT);
      String scenario =
          line.getOptionValue("scenario", "all").toUpperCase(Locale.ROOT).replace('-', '_');
      String[] range = line.getOptionValue("seeds", "1-3").split("-", 2);
      List<Long> seeds = new ArrayList<>();
      for (long seed = Long.parseLong(range[0]);
          seed <= Long.parseLong(range[range.length - 1]);
          seed++) {
        seeds.add(seed);
      }
      return new Settings(
          line,
          user.equals("BOTH") ? List.of(User.values()) : List.of(User.valueOf(user)),
          scenario.equals("ALL") ? List.of(Scenario.values()) : List.of(Scenario.valueOf(scenario)),
          seeds,
          line.getOptionValue("csv"));
    }

    boolean breakdown() {
      return line.hasOption("breakdown");
    }

    List<Policies> policies() {
      String names = line.getOptionValue("policies", "all").toUpperCase(Locale.ROOT);
      if (names.equals("ALL")) {
        return List.of(Policies.values());
      }
      return Arrays.stream(names.split(",", -1)).map(Policies::valueOf).toList();
    }

    SimulationConfig config(User user) {
      return new SimulationConfig(
          user,
          Double.parseDouble(line.getOptionValue("zipf", "1.2")),
          positive("adapters", 3000),
          positive("slots", 8),
          positive("streams", 16),
          positive("owners", 7),
          positive("runners", 13),
          positive("second", 3),
          Double.parseDouble(line.getOptionValue("rate", Double.toString(user.rate()))),
          positive("seconds", 600));
    }

    private int positive(String flag, int fallback) {
      int value = Integer.parseInt(line.getOptionValue(flag, Integer.toString(fallback)));
      if (value < 1) {
        throw new IllegalArgumentException("--" + flag + " must be at least 1: " + value);
      }
      return value;
    }
  }
}
