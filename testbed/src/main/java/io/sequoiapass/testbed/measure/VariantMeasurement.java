package io.sequoiapass.testbed.measure;

import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.launch.ProcessStats;
import io.sequoiapass.testbed.load.ConsistencyChecker;
import io.sequoiapass.testbed.load.LoadPlan;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.RequestResult;
import io.sequoiapass.testbed.load.Verdict;
import java.io.IOException;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Measures daemons that differ by one flag under the same seeded load, one after the other.
 *
 * <p>The wait is the sum over all requests of the time to the first token, or of the total time if
 * there was no token. CPU and memory are those of the daemons; CPU excludes start-up and warm-up.
 */
final class VariantMeasurement {

  private static final long READY_LIMIT_MS = 30_000;
  private static final long ANSWERS_LIMIT_MS = 60_000;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MICROS_PER_MILLI = 1e3;

  /**
   * Size and load that all variants share.
   *
   * @param daemons number of daemons
   * @param engines number of engines
   * @param slots adapter slots of an engine
   * @param warmUp load before the measurement
   * @param load load during the measurement
   */
  record Size(int daemons, int engines, int slots, LoadPlan warmUp, LoadPlan load) {}

  private final Size size;

  VariantMeasurement(Size size) {
    this.size = size;
  }

  /** Measures the flag with each of the values, in the given order; values may repeat. */
  int run(String flag, List<String> values) throws IOException, InterruptedException {
    System.out.println(
        "| --"
            + flag
            + " | sent | whole | wait s | first token p50 ms | p95 ms | loads | evictions"
            + " | streams a step | adapters a step | CPU ms a request | RSS MB a daemon |");
    System.out.println("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (String value : values) {
      try (Cluster cluster =
          Cluster.builder()
              .daemons(size.daemons())
              .engines(size.engines())
              .adapters(size.load().adapters())
              .engineSize(size.slots(), 16)
              .daemonFlags("--" + flag, value)
              .start()) {
        cluster.awaitServing(READY_LIMIT_MS);
        runLoad(cluster, size.warmUp());
        measureRow(cluster, value);
      }
    }
    return 0;
  }

  private void measureRow(Cluster cluster, String value) throws IOException, InterruptedException {
    ConsistencyChecker before = ConsistencyChecker.of(cluster);
    long cpuBefore = cpuMillis(cluster);
    LoadReport report = runLoad(cluster, size.load());
    double cpu = (cpuMillis(cluster) - cpuBefore) / (double) report.sent();
    ConsistencyChecker after = ConsistencyChecker.of(cluster);
    Histogram firstTokens = report.firstTokens(result -> true);
    System.out.printf(
        "| %s | %d | %d | %.1f | %.1f | %.1f | %d | %d | %.2f | %.2f | %.2f | %.0f |%n",
        value,
        report.sent(),
        report.count(Verdict.COMPLETE),
        report.results().stream().mapToLong(VariantMeasurement::waited).sum() / MICROS_PER_SECOND,
        firstTokens.getValueAtPercentile(50) / MICROS_PER_MILLI,
        firstTokens.getValueAtPercentile(95) / MICROS_PER_MILLI,
        after.loads() - before.loads(),
        after.evictions() - before.evictions(),
        after.streamsPerStep(),
        after.adaptersPerStep(),
        cpu,
        residentKb(cluster) / 1_024.0 / size.daemons());
  }

  private static long waited(RequestResult result) {
    return result.firstTokenMicros() >= 0 ? result.firstTokenMicros() : result.tookMicros();
  }

  private static LoadReport runLoad(Cluster cluster, LoadPlan plan) throws InterruptedException {
    try (LoadTool tool =
        LoadTool.to(cluster.daemons().stream().map(DaemonNode::callerAddress).toList())) {
      tool.start(plan.requests());
      return tool.await(ANSWERS_LIMIT_MS);
    }
  }

  private static long cpuMillis(Cluster cluster) throws IOException {
    long sum = 0;
    for (DaemonNode daemon : cluster.daemons()) {
      sum += daemon.process().stats().cpuMillis();
    }
    return sum;
  }

  private static long residentKb(Cluster cluster) throws IOException {
    long sum = 0;
    for (DaemonNode daemon : cluster.daemons()) {
      ProcessStats stats = daemon.process().stats();
      sum += stats.residentKb();
    }
    return sum;
  }
}
