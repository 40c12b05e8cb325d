package io.sequoiapass.testbed.measure;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.launch.ProcessStats;
import io.sequoiapass.testbed.load.LoadPlan;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.RequestResult;
import io.sequoiapass.testbed.load.Verdict;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures the resource usage of a daemon when idle, at a given rate, which stands for its share of
 * the planned peak, and at three times that rate.
 *
 * <p>Each of two daemons receives the given rate and owns half of the engines, so that about half
 * of the requests pass through both. All adapters fit into the engines' slots, so the figures don't
 * include the cost of adapter loads.
 */
final class DaemonMeasurement {

  private static final int DAEMONS = 2;
  private static final int SETTLE_SECONDS = 5;
  private static final int LOAD_SECONDS = 15;
  private static final int LOAD_RATE = 20;
  private static final int ADAPTERS = 40;
  private static final long READY_LIMIT_MS = 20_000;
  private static final long ANSWERS_LIMIT_MS = 60_000;

  private final int seconds;
  private final int rate;
  private final int tokensPerRequest;
  private final long seed;
  private final List<String> daemonFlags;
  private final List<String> jvmFlags;

  DaemonMeasurement(
      int seconds,
      int rate,
      int tokensPerRequest,
      long seed,
      List<String> daemonFlags,
      List<String> jvmFlags) {
    this.seconds = seconds;
    this.rate = rate;
    this.tokensPerRequest = tokensPerRequest;
    this.seed = seed;
    this.daemonFlags = List.copyOf(daemonFlags);
    this.jvmFlags = List.copyOf(jvmFlags);
  }

  int run() throws IOException, InterruptedException {
    try (Cluster cluster =
        Cluster.builder()
            .daemons(DAEMONS)
            .engines(10)
            .adapters(ADAPTERS)
            .engineSize(2 * ADAPTERS, 512)
            .engineFlags("--stream-micros", "20")
            .daemonFlags(daemonFlags.toArray(String[]::new))
            .daemonJvmFlags(jvmFlags.toArray(String[]::new))
            .start()) {
      cluster.awaitServing(READY_LIMIT_MS);
      loadAdapters(cluster);
      System.out.printf("one daemon of two, 10 engines, %d s each%n", seconds);
      System.out.println(
          "| load | requests/s | tokens/s | CPU of a core in % | RSS MB | peak RSS MB | control B/s"
              + " | data B/s | platform calls/s | not whole |");
      System.out.println("|---|---|---|---|---|---|---|---|---|---|");
      measureIdle(cluster);
      boolean complete = measureLevel(cluster, "1x", rate);
      complete &= measureLevel(cluster, "3x", 3 * rate);
      return complete ? 0 : 1;
    }
  }

  private LoadPlan plan(int duration, int perSecond, long planSeed) {
    return new LoadPlan(duration, perSecond, ADAPTERS, 0, tokensPerRequest, 0, 0, 0, planSeed);
  }

  private void measureIdle(Cluster cluster) throws IOException, InterruptedException {
    Sample before = Sample.of(cluster);
    TimeUnit.SECONDS.sleep(seconds);
    printRow("idle", Sample.of(cluster).since(before), 0, 0, 0);
  }

  private boolean measureLevel(Cluster cluster, String name, int perSecond)
      throws IOException, InterruptedException {
    LoadPlan plan = plan(SETTLE_SECONDS + seconds, DAEMONS * perSecond, seed);
    try (LoadTool tool = tool(cluster)) {
      tool.start(plan.requests());
      TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
      Sample before = Sample.of(cluster);
      long sentBefore = tool.sent();
      TimeUnit.SECONDS.sleep(seconds);
      Sample used = Sample.of(cluster).since(before);
      double sent = (tool.sent() - sentBefore) / used.seconds / DAEMONS;
      LoadReport report = tool.await(ANSWERS_LIMIT_MS);
      double tokens = sent * meanTokens(report);
      long incomplete = report.sent() - report.count(Verdict.COMPLETE);
      printRow(name, used, sent, tokens, incomplete);
      report.reasons(3).forEach(System.out::println);
      return incomplete == 0;
    }
  }

  /** Requests the adapters until they are loaded, so that no load occurs during a measurement. */
  private void loadAdapters(Cluster cluster) throws InterruptedException {
    try (LoadTool tool = tool(cluster)) {
      tool.start(plan(LOAD_SECONDS, LOAD_RATE, seed + 1).requests());
      tool.await(ANSWERS_LIMIT_MS);
    }
  }

  private static LoadTool tool(Cluster cluster) {
    return LoadTool.to(cluster.daemons().stream().map(DaemonNode::callerAddress).toList());
  }

  private static double meanTokens(LoadReport report) {
    List<RequestResult> complete =
        report.results().stream().filter(result -> result.verdict() == Verdict.COMPLETE).toList();
    return complete.stream().mapToInt(result -> result.request().maxTokens()).average().orElse(0);
  }

  private static void printRow(
      String name, Sample used, double requests, double tokens, long incomplete) {
    System.out.printf(
        "| %s | %.0f | %.0f | %.1f | %.0f | %.0f | %.0f | %.0f | %.1f | %d |%n",
        name,
        requests,
        tokens,
        used.cpuMillis / used.seconds / 10 / DAEMONS,
        used.residentKb / 1_024.0 / DAEMONS,
        used.peakKb / 1_024.0 / DAEMONS,
        used.controlBytes / used.seconds / DAEMONS,
        used.dataBytes / used.seconds / DAEMONS,
        used.platformCalls / used.seconds / DAEMONS,
        incomplete);
  }

  /** Sums over all daemons at one point in time, or the differences between two. */
  private record Sample(
      double seconds,
      long cpuMillis,
      long residentKb,
      long peakKb,
      long controlBytes,
      long dataBytes,
      long platformCalls) {

    static Sample of(Cluster cluster) throws IOException, InterruptedException {
      long cpu = 0;
      long resident = 0;
      long peak = 0;
      long control = 0;
      long data = 0;
      for (DaemonNode daemon : cluster.daemons()) {
        ProcessStats stats = daemon.process().stats();
        JsonObject metrics =
            cluster
                .http()
                .read(HttpCall.to(daemon.operatorAddress(), "GET", "/metrics"), JsonObject.class);
        cpu += stats.cpuMillis();
        resident += stats.residentKb();
        peak += stats.peakResidentKb();
        control += metrics.get("peer.control.bytes").getAsLong();
        data += metrics.get("peer.data.bytes").getAsLong();
      }
      double now = System.nanoTime() / 1e9;
      return new Sample(now, cpu, resident, peak, control, data, platformCalls(cluster));
    }

    private static long platformCalls(Cluster cluster) throws IOException, InterruptedException {
      HttpCall call = HttpCall.to(cluster.platformAddress(), "GET", "/judge");
      JsonObject calls = cluster.http().read(call, JsonObject.class).getAsJsonObject("calls");
      return calls.asMap().values().stream().mapToLong(JsonElement::getAsLong).sum();
    }

    Sample since(Sample before) {
      return new Sample(
          seconds - before.seconds,
          cpuMillis - before.cpuMillis,
          residentKb,
          peakKb,
          controlBytes - before.controlBytes,
          dataBytes - before.dataBytes,
          platformCalls - before.platformCalls);
    }
  }
}
