package io.sequoiapass.testbed;

import io.sequoiapass.testbed.cli.Flags;
import io.sequoiapass.testbed.cli.UsageException;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.load.ConsistencyChecker;
import io.sequoiapass.testbed.load.LoadPlan;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.PlannedRequest;
import io.sequoiapass.testbed.load.RequestResult;
import io.sequoiapass.testbed.load.Verdict;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Starts daemons and stand-ins in two data centres, sends a skewed load and prints a report.
 *
 * <p>The exit code is 0 only if no answer was wrong, no adapter was evicted while serving and every
 * request got a final answer.
 */
final class DemoCommand implements Command {

  private static final long READY_TIMEOUT_MS = 20_000;
  private static final long ANSWERS_TIMEOUT_MS = 60_000;
  private static final long PROGRESS_INTERVAL_MS = 1_000;
  private static final int MAX_REASONS = 5;
  private static final double PLAIN_SHARE = 0.1;
  private static final double NON_REPEATABLE_SHARE = 0.05;
  private static final double PREVIOUS_VERSION_SHARE = 0.02;

  /**
   * A request counts as stalled above this time to first token. A resident adapter gives its first
   * token within some tens of milliseconds; a load takes at least 250 ms.
   */
  private static final long STALL_MICROS = 200_000;

  private static Flags.Definition definition() {
    return Flags.define()
        .flag("seconds", "10", "duration of the load in seconds")
        .flag("rate", "30", "requests a second")
        .flag("adapters", "100", "adapters configured and requested")
        .flag("skew", "1.8", "skew of their popularity")
        .flag("tokens", "24", "tokens of an answer on average")
        .flag("engines", "3", "engines in each of the two data centres")
        .flag("seed", "1", "seed of the load");
  }

  @Override
  public String help() {
    return definition().help();
  }

  @Override
  public int run(String... arguments) throws UsageException, IOException, InterruptedException {
    Flags flags = definition().parse(arguments);
    LoadPlan plan =
        new LoadPlan(
            flags.integer("seconds", 1, 3_600),
            flags.decimal("rate", 0.1, 10_000),
            flags.integer("adapters", 1, 100_000),
            flags.decimal("skew", 0, 10),
            flags.integer("tokens", 1, 10_000),
            PLAIN_SHARE,
            NON_REPEATABLE_SHARE,
            PREVIOUS_VERSION_SHARE,
            flags.integer("seed", 0, Integer.MAX_VALUE));
    int engines = flags.integer("engines", 1, 100);
    progress("starting 4 daemons, " + 2 * engines + " engines, 2 plain services, platform, store");
    try (Cluster cluster =
        Cluster.builder()
            .dataCentres("yard-north", "yard-south")
            .daemons(2)
            .engines(engines)
            .services(1)
            .adapters(plan.adapters())
            .start()) {
      cluster.awaitServing(READY_TIMEOUT_MS);
      return load(cluster, plan);
    }
  }

  private static void progress(String line) {
    System.err.println(line);
  }

  private static int load(Cluster cluster, LoadPlan plan) throws IOException, InterruptedException {
    List<PlannedRequest> requests = plan.requests();
    progress("sending " + requests.size() + " requests in " + plan.seconds() + " s");
    try (LoadTool tool =
        LoadTool.to(cluster.daemons().stream().map(DaemonNode::callerAddress).toList())) {
      tool.start(requests);
      for (int second = 1; second <= plan.seconds(); second++) {
        Thread.sleep(PROGRESS_INTERVAL_MS);
        LoadReport soFar = tool.report();
        progress(
            second
                + " s: sent "
                + tool.sent()
                + ", ended "
                + soFar.results().size()
                + ", whole "
                + soFar.count(Verdict.COMPLETE));
      }
      LoadReport report = tool.await(ANSWERS_TIMEOUT_MS);
      ConsistencyChecker checker = ConsistencyChecker.of(cluster);
      return printReport(plan, checker.apply(report), checker);
    }
  }

  private static int printReport(LoadPlan plan, LoadReport report, ConsistencyChecker checker) {
    long wrong = report.count(Verdict.WRONG);
    long unknown = report.count(Verdict.UNKNOWN);
    Histogram firstTokens = report.firstTokens(DemoCommand::isCompleteAdapterAnswer);
    // All engines start without adapters, so latency in the first half mostly reflects load time.
    long half = TimeUnit.SECONDS.toMicros(plan.seconds()) / 2;
    Histogram secondHalf =
        report.firstTokens(
            result -> isCompleteAdapterAnswer(result) && result.request().atMicros() >= half);
    long stalls = firstTokens.getCountBetweenValues(STALL_MICROS, Long.MAX_VALUE);
    report.reasons(MAX_REASONS).forEach(reason -> System.out.println("  " + reason));
    checker.violationDetails().forEach(detail -> System.out.println("  violation: " + detail));
    row("requests", Long.toString(report.sent()));
    row("right adapter, whole answer", Long.toString(report.count(Verdict.COMPLETE)));
    row("wrong", Long.toString(wrong));
    row("not run", Long.toString(report.count(Verdict.NOT_RUN)));
    row("unknown", Long.toString(unknown));
    row("without a final answer", Long.toString(report.unanswered()));
    row("first token p50", millis(firstTokens.getValueAtPercentile(50)));
    row("first token p95", millis(firstTokens.getValueAtPercentile(95)));
    row("first token p95, second half", millis(secondHalf.getValueAtPercentile(95)));
    row("load stalls (over 200 ms)", stalls + " of " + firstTokens.getTotalCount());
    row("loads, evictions", checker.loads() + ", " + checker.evictions());
    row("evictions while serving", Long.toString(checker.violations()));
    row("batch efficiency, streams a step", "%.2f".formatted(checker.streamsPerStep()));
    row("adapters a step", "%.2f".formatted(checker.adaptersPerStep()));
    System.out.printf(
        "demo: sent=%d whole=%d wrong=%d not_run=%d unknown=%d%n",
        report.sent(),
        report.count(Verdict.COMPLETE),
        wrong,
        report.count(Verdict.NOT_RUN),
        unknown + report.unanswered());
    boolean passed = wrong == 0 && report.unanswered() == 0 && checker.violations() == 0;
    return passed ? 0 : 1;
  }

  private static boolean isCompleteAdapterAnswer(RequestResult result) {
    return result.verdict() == Verdict.COMPLETE && result.request().adapter().isPresent();
  }

  private static void row(String name, String value) {
    System.out.printf("%-34s %s%n", name, value);
  }

  private static String millis(long micros) {
    return "%.1f ms".formatted(micros / 1_000.0);
  }
}
