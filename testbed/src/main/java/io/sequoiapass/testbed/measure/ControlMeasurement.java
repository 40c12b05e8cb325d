package io.sequoiapass.testbed.measure;

import io.sequoiapass.testbed.capacity.Slope;
import io.sequoiapass.testbed.cli.Addresses;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.launch.EndpointNode;
import io.sequoiapass.testbed.wire.ObjectValues;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/**
 * Measures the cost of the control plane per idle daemon at several sizes of the data centre, and
 * fits a line through the results.
 *
 * <p>All engines are endpoints of one stand-in: an idle owner only polls their state, so the number
 * of processes behind them makes no difference.
 */
final class ControlMeasurement {

  /** Number of daemons per data centre that the design aims at. */
  private static final int TARGET_DAEMONS = 17;

  private static final int LEASE_MARGIN_MS = 500;

  private static final long READY_LIMIT_MS = 60_000;
  private static final long POLL_INTERVAL_MS = 200;

  private final int seconds;
  private final int warmUp;
  private final List<Integer> sizes;
  private final int engines;
  private final int leaseMs;
  private final int heartbeatMs;

  ControlMeasurement(
      int seconds, int warmUp, List<Integer> sizes, int engines, int leaseMs, int heartbeatMs) {
    this.seconds = seconds;
    this.warmUp = warmUp;
    this.sizes = List.copyOf(sizes);
    this.engines = engines;
    this.leaseMs = leaseMs;
    this.heartbeatMs = heartbeatMs;
  }

  int run() throws IOException, InterruptedException {
    System.out.printf(
        Locale.ROOT,
        "one daemon of the data centre, %d engines each, %d s after %d s, lease %d ms, heartbeat %d"
            + " ms%n",
        engines,
        seconds,
        warmUp,
        leaseMs,
        heartbeatMs);
    System.out.println(
        "| daemons | control B/s | with headers B/s | CPU of a core in % | RSS MB | threads |"
            + " platform calls/s | load average |");
    System.out.println("|---|---|---|---|---|---|---|---|");
    List<Row> rows = new ArrayList<>();
    for (int size : sizes) {
      Row row = measure(size);
      rows.add(row);
      System.out.println(row.line());
    }
    if (rows.size() > 1) {
      printSlope("control B/s with headers", rows, row -> row.used.bytesWithHeaders());
      printSlope("CPU of a core in %", rows, row -> row.used.cpuPercent());
      printSlope("RSS MB", rows, row -> row.used.residentMb());
      printSlope("platform calls/s", rows, row -> row.used.platformCalls());
    }
    return 0;
  }

  private static void printSlope(String what, List<Row> rows, ToDoubleFunction<Row> value) {
    Slope slope =
        Slope.fit(
            rows.stream().map(row -> new Slope.Point(row.size, value.applyAsDouble(row))).toList());
    System.out.printf(
        Locale.ROOT,
        "%s: %.3f for each daemon, %.2f at %d, worst residual %.0f %%%n",
        what,
        slope.perUnit(),
        slope.at(TARGET_DAEMONS),
        TARGET_DAEMONS,
        100 * slope.worstResidual());
  }

  private Row measure(int size) throws IOException, InterruptedException {
    try (Cluster cluster =
        Cluster.builder()
            .daemons(size)
            .engines(Math.min(1, engines))
            .leases(leaseMs, LEASE_MARGIN_MS, heartbeatMs)
            .start()) {
      cluster.awaitReady(READY_LIMIT_MS);
      addEndpoints(cluster, engines * size);
      awaitOwned(cluster, engines * size);
      TimeUnit.SECONDS.sleep(warmUp);
      ControlSample before = ControlSample.of(cluster);
      TimeUnit.SECONDS.sleep(seconds);
      return new Row(size, ControlSample.of(cluster).since(before), MachineLoad.recent());
    }
  }

  private static void addEndpoints(Cluster cluster, int count)
      throws IOException, InterruptedException {
    if (count == 0) {
      return;
    }
    EndpointNode engine = cluster.endpoints().get(0);
    for (int i = 1; i < count; i++) {
      ObjectValues.Endpoint value =
          new ObjectValues.Endpoint(
              Addresses.text(engine.address()),
              engine.dataCentre(),
              engine.host(),
              "ENGINE",
              ClusterNames.MODEL,
              null,
              4,
              16,
              true,
              "ACTIVE");
      cluster.objects().put("endpoint", "more-" + i, value);
    }
  }

  private static void awaitOwned(Cluster cluster, int wanted)
      throws IOException, InterruptedException {
    int owned = owned(cluster);
    for (long polls = READY_LIMIT_MS / POLL_INTERVAL_MS; owned != wanted && polls > 0; polls--) {
      Thread.sleep(POLL_INTERVAL_MS);
      owned = owned(cluster);
    }
    if (owned != wanted) {
      throw new IOException("endpoints owned: " + owned + " of " + wanted);
    }
  }

  private static int owned(Cluster cluster) throws IOException, InterruptedException {
    DaemonNode any = cluster.daemons().get(0);
    return cluster.objects().value("ownership", any.dataCentre()).getAsJsonObject("owners").size();
  }

  /** Result for one size. */
  private record Row(int size, ControlSample.Usage used, String load) {

    String line() {
      StringBuilder kinds = new StringBuilder();
      for (Map.Entry<String, Double> kind : used.callsByKind().entrySet()) {
        kinds.append(String.format(Locale.ROOT, " %s %.2f", kind.getKey(), kind.getValue()));
      }
      return String.format(
          Locale.ROOT,
          "| %d | %.0f | %.0f | %.2f | %.0f | %.0f | %.2f (%s) | %s |",
          size,
          used.bytes(),
          used.bytesWithHeaders(),
          used.cpuPercent(),
          used.residentMb(),
          used.threads(),
          used.platformCalls(),
          kinds.toString().trim(),
          load);
    }
  }
}
