package io.sequoiapass.testbed.measure;

import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.load.ConsistencyChecker;
import io.sequoiapass.testbed.load.LoadPlan;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.PlannedRequest;
import io.sequoiapass.testbed.load.RequestResult;
import io.sequoiapass.testbed.load.Verdict;
import io.sequoiapass.testbed.measure.FaultSchedule.InjectedFault;
import java.io.IOException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Measures the results that callers receive, and compares them with what ran, while daemons are
 * killed, paused and partitioned, engines restart and answers are lost.
 *
 * <p>A third of the requests are slips that must not run twice, half of them without a key; a third
 * of the completions must not run twice either. The stand-ins record what ran.
 */
final class FaultsMeasurement {

  private static final int DAEMONS = 3;
  private static final int ADAPTERS = 30;
  private static final int TOKENS = 30;
  private static final double SLIP_FRACTION = 0.33;
  private static final double ONCE_FRACTION = 0.33;
  private static final int FAULT_FREE_END_SECONDS = 8;
  private static final long READY_LIMIT_MS = 60_000;
  private static final long ANSWERS_LIMIT_MS = 60_000;
  private static final int MAX_REASONS = 14;

  private final Set<FaultKind> kinds;
  private final int seconds;
  private final int rate;
  private final long seed;

  FaultsMeasurement(Set<FaultKind> kinds, int seconds, int rate, long seed) {
    this.kinds = kinds;
    this.seconds = seconds;
    this.rate = rate;
    this.seed = seed;
  }

  int run() throws IOException, InterruptedException {
    try (Cluster cluster =
        Cluster.builder()
            .daemons(DAEMONS)
            .engines(DAEMONS)
            .services(DAEMONS)
            .adapters(ADAPTERS)
            .engineSize(2 * ADAPTERS, 128)
            .withProxies()
            .leases(3_000, 500, 500)
            .start()) {
      cluster.awaitServing(READY_LIMIT_MS);
      FaultSchedule faults =
          new FaultSchedule(cluster, kinds, seconds - FAULT_FREE_END_SECONDS, seed);
      try (LoadTool tool = LoadTool.through(faults::pick)) {
        List<PlannedRequest> requests = requests();
        long start = System.nanoTime();
        tool.start(requests);
        List<InjectedFault> injected = faults.run(start);
        LoadReport report = ConsistencyChecker.of(cluster).apply(tool.await(ANSWERS_LIMIT_MS));
        return print(report, injected);
      }
    }
  }

  private List<PlannedRequest> requests() {
    Random random = new Random(seed);
    return new LoadPlan(seconds, rate, ADAPTERS, 1, TOKENS, SLIP_FRACTION, ONCE_FRACTION, 0, seed)
        .requests().stream()
            .map(request -> random.nextBoolean() ? request : request.withoutKey())
            .toList();
  }

  private static int print(LoadReport report, List<InjectedFault> injected) {
    long duplicates = count(report, wrong("must not run twice"));
    long falseNotRun = count(report, wrong("reported as NOT RUN"));
    long unknown = report.count(Verdict.UNKNOWN);
    Predicate<RequestResult> connectionLost = result -> !isReportedByDaemon(result.detail());
    long lost = count(report, connectionLost.and(result -> result.verdict() == Verdict.UNKNOWN));
    long inFlight = count(report, result -> overlaps(result, injected));
    long at = count(report, result -> startsIn(result, injected));
    System.out.println(
        "| requests | duplicates | false NOT RUN | otherwise wrong | UNKNOWN | of these, connection"
            + " of the caller lost | NOT RUN | unanswered | not whole | in flight at the start of a"
            + " fault | in flight during one |");
    System.out.println("|---|---|---|---|---|---|---|---|---|---|---|");
    System.out.printf(
        "| %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d |%n",
        report.sent(),
        duplicates,
        falseNotRun,
        report.count(Verdict.WRONG) - duplicates - falseNotRun,
        unknown,
        lost,
        report.count(Verdict.NOT_RUN),
        report.unanswered(),
        report.sent() - report.count(Verdict.COMPLETE),
        at,
        inFlight);
    System.out.printf(
        "UNKNOWN as a share of the requests in flight: %.1f %% at the start of a fault, %.1f %%"
            + " during one%n",
        percent(unknown, at), percent(unknown, inFlight));
    Predicate<RequestResult> repeatable = result -> result.request().repeatable();
    System.out.printf(
        "UNKNOWN told by a daemon, of requests that may run twice: %d%n",
        count(
            report,
            repeatable
                .and(connectionLost.negate())
                .and(result -> result.verdict() == Verdict.UNKNOWN)));
    printFaults(report, injected);
    report.reasons(MAX_REASONS).forEach(System.out::println);
    return duplicates + falseNotRun == 0 ? 0 : 1;
  }

  private static void printFaults(LoadReport report, List<InjectedFault> injected) {
    Map<FaultKind, Integer> faults = new EnumMap<>(FaultKind.class);
    Map<FaultKind, Long> unknown = new EnumMap<>(FaultKind.class);
    for (InjectedFault fault : injected) {
      faults.merge(fault.kind(), 1, Integer::sum);
      long during =
          count(
              report,
              result -> result.verdict() == Verdict.UNKNOWN && overlaps(result, List.of(fault)));
      unknown.merge(fault.kind(), during, Long::sum);
    }
    System.out.println("faults " + faults + ", UNKNOWN in flight during them " + unknown);
  }

  private static Predicate<RequestResult> wrong(String detail) {
    return result -> result.verdict() == Verdict.WRONG && result.detail().startsWith(detail);
  }

  /** Returns whether a daemon reported the result, rather than the connection being lost. */
  private static boolean isReportedByDaemon(String detail) {
    return detail.contains("\"kind\"") || detail.contains(" after ");
  }

  private static long count(LoadReport report, Predicate<RequestResult> which) {
    return report.results().stream().filter(which).count();
  }

  private static boolean startsIn(RequestResult result, List<InjectedFault> injected) {
    long from = result.request().atMicros();
    long to = from + result.tookMicros();
    return injected.stream().anyMatch(f -> f.beginMicros() >= from && f.beginMicros() <= to);
  }

  private static boolean overlaps(RequestResult result, List<InjectedFault> injected) {
    long from = result.request().atMicros();
    long to = from + result.tookMicros();
    return injected.stream().anyMatch(f -> f.beginMicros() <= to && f.endMicros() >= from);
  }

  private static double percent(long part, long total) {
    return total == 0 ? 0 : 100.0 * part / total;
  }
}
