package io.sequoiapass.testbed.measure;

import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.load.LoadPlan;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.RequestResult;
import io.sequoiapass.testbed.load.Verdict;
import java.io.IOException;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures goodput against the offered load, with and without admission control, one after the
 * other at each load.
 *
 * <p>Runs two clusters of two daemons and one engine whose adapters are all loaded, so that its
 * stream slots are the bottleneck. The capacity is determined first, as the rate in tokens per
 * second at which a burst with a long deadline is processed. Goodput is also counted in tokens,
 * because a count of requests would favour a policy that answers only short ones.
 */
final class OverloadMeasurement {

  private static final double[] LOADS = {0.5, 1, 1.5, 2, 3};
  private static final int ADAPTERS = 8;
  private static final int STREAMS = 16;
  private static final int BURST_RATE = 500;
  private static final int BURST_SECONDS = 2;
  private static final int LONG_DEADLINE_MS = 60_000;
  private static final long READY_LIMIT_MS = 30_000;
  private static final int MAX_WARM_UP_ATTEMPTS = 20;
  private static final int EDGE_DIVISOR = 10;
  private static final double GOODPUT_TARGET = 0.9;

  private final int seconds;
  private final int deadlineMs;
  private final int tokens;
  private final int stepMicros;
  private final long seed;

  OverloadMeasurement(int seconds, int deadlineMs, int tokens, int stepMicros, long seed) {
    this.seconds = seconds;
    this.deadlineMs = deadlineMs;
    this.tokens = tokens;
    this.stepMicros = stepMicros;
    this.seed = seed;
  }

  int run() throws IOException, InterruptedException {
    try (Cluster with = cluster("true");
        Cluster without = cluster("false")) {
      with.awaitServing(READY_LIMIT_MS);
      without.awaitServing(READY_LIMIT_MS);
      loadAdapters(with);
      loadAdapters(without);
      double capacity = capacity(without);
      System.out.printf(
          "capacity %.0f tokens/s; deadline %d ms, %d tokens on average, %d s each%n",
          capacity, deadlineMs, tokens, seconds);
      System.out.println(
          "| load | admission | offered/s | in time/s | work in time of capacity in % | p95 ms | refused/s"
              + " | refusal p95 ms | late/s | unknown/s | priority work in time in % |");
      System.out.println("|---|---|---|---|---|---|---|---|---|---|---|");
      double last = 0;
      for (double load : LOADS) {
        last = level(with, "yes", load, capacity);
        level(without, "no", load, capacity);
      }
      System.out.printf("overload: goodput_at_3x=%.3f aim=%.1f%n", last, GOODPUT_TARGET);
      return last >= GOODPUT_TARGET ? 0 : 1;
    }
  }

  private Cluster cluster(String admission) throws IOException, InterruptedException {
    return Cluster.builder()
        .daemons(2)
        .engines(1)
        .adapters(ADAPTERS)
        .engineSize(ADAPTERS, STREAMS)
        .engineFlags("--base-micros", Integer.toString(stepMicros))
        .daemonFlags("--admission", admission)
        .daemonJvmFlags("-XX:TieredStopAtLevel=4")
        .start();
  }

  private LoadReport send(Cluster cluster, int duration, double rate, int deadline)
      throws InterruptedException {
    LoadPlan plan = new LoadPlan(duration, rate, ADAPTERS, 0, tokens, 0, 0, 0, seed);
    try (LoadTool tool =
        LoadTool.to(cluster.daemons().stream().map(DaemonNode::callerAddress).toList())
            .deadlineMs(deadline)) {
      tool.start(plan.requests());
      return tool.await(TimeUnit.SECONDS.toMillis(duration) + 2L * deadline + LONG_DEADLINE_MS);
    }
  }

  /** Waits until every adapter has answered, so that no load occurs during the measurement. */
  private static void loadAdapters(Cluster cluster) throws IOException, InterruptedException {
    for (int adapter = 0; adapter < ADAPTERS; adapter++) {
      String body =
          "{\"model\":\"%s\",\"prompt\":\"warm-up\",\"max_tokens\":1}"
              .formatted(ClusterNames.adapter(adapter));
      for (DaemonNode daemon : cluster.daemons()) {
        HttpCall call = HttpCall.to(daemon.callerAddress(), "POST", "/v1/completions").body(body);
        for (int attempts = 0; !cluster.http().send(call).ok(); attempts++) {
          if (attempts >= MAX_WARM_UP_ATTEMPTS) {
            throw new IOException("no answer for " + ClusterNames.adapter(adapter));
          }
        }
      }
    }
  }

  private double capacity(Cluster cluster) throws InterruptedException {
    LoadReport report = send(cluster, BURST_SECONDS, BURST_RATE, LONG_DEADLINE_MS);
    List<RequestResult> ended =
        report.results().stream()
            .filter(result -> result.verdict() == Verdict.COMPLETE)
            .sorted(Comparator.comparingLong(OverloadMeasurement::endMicros))
            .toList();
    // Excludes the start and end of the burst, where the batch is not full.
    int first = ended.size() / EDGE_DIVISOR;
    int last = ended.size() - 1 - first;
    long micros = endMicros(ended.get(last)) - endMicros(ended.get(first));
    return tokensOf(ended.subList(first, last)) * 1e6 / micros;
  }

  private static long endMicros(RequestResult result) {
    return result.request().atMicros() + result.tookMicros();
  }

  private static long tokensOf(List<RequestResult> results) {
    return results.stream().mapToLong(result -> result.request().maxTokens()).sum();
  }

  private double level(Cluster cluster, String admission, double load, double capacity)
      throws InterruptedException {
    LoadReport report = send(cluster, seconds, load * capacity / tokens, deadlineMs);
    List<RequestResult> all = report.results();
    List<RequestResult> answered = all.stream().filter(this::inTime).toList();
    long inTime = answered.size();
    long late = report.count(Verdict.COMPLETE) - inTime;
    List<RequestResult> priority =
        all.stream().filter(result -> result.request().priority().equals("DEADLINE")).toList();
    double goodput = tokensOf(answered) / (double) seconds / capacity;
    System.out.printf(
        "| %.1f | %s | %.1f | %.1f | %.0f | %d | %.1f | %d | %.1f | %.1f | %.1f |%n",
        load,
        admission,
        perSecond(report.sent()),
        perSecond(inTime),
        100 * goodput,
        p95(all, Verdict.COMPLETE),
        perSecond(report.count(Verdict.NOT_RUN)),
        p95(all, Verdict.NOT_RUN),
        perSecond(late),
        perSecond(report.count(Verdict.UNKNOWN) + report.unanswered()),
        100.0 * priority.stream().filter(this::inTime).count() / Math.max(1, priority.size()));
    return goodput;
  }

  private double perSecond(long count) {
    return count / (double) seconds;
  }

  private boolean inTime(RequestResult result) {
    return result.verdict() == Verdict.COMPLETE
        && result.tookMicros() <= TimeUnit.MILLISECONDS.toMicros(deadlineMs);
  }

  private static long p95(List<RequestResult> results, Verdict verdict) {
    List<Long> sorted =
        results.stream()
            .filter(result -> result.verdict() == verdict)
            .map(RequestResult::tookMicros)
            .sorted()
            .toList();
    return sorted.isEmpty()
        ? 0
        : TimeUnit.MICROSECONDS.toMillis(sorted.get((int) (0.95 * (sorted.size() - 1))));
  }
}
