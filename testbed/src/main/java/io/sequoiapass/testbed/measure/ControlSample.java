package io.sequoiapass.testbed.measure;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.launch.ProcessStats;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * Holds sums over all daemons of a cluster at one moment.
 *
 * @param atSeconds the moment
 * @param daemons how many daemons
 * @param cpuMillis their processor time
 * @param residentKb their memory
 * @param threads their threads
 * @param bytes control bytes sent to peers
 * @param frames control frames sent to peers
 * @param calls calls to the platform by kind
 */
record ControlSample(
    double atSeconds,
    int daemons,
    long cpuMillis,
    long residentKb,
    long threads,
    long bytes,
    long frames,
    Map<String, Long> calls) {

  /** IPv4 and TCP headers with time stamps; a frame of control travels alone. */
  private static final int PACKET_BYTES = 52;

  static ControlSample of(Cluster cluster) throws IOException, InterruptedException {
    long cpu = 0;
    long resident = 0;
    long threads = 0;
    long bytes = 0;
    long frames = 0;
    for (DaemonNode daemon : cluster.daemons()) {
      ProcessStats stats = daemon.process().stats();
      HttpCall call = HttpCall.to(daemon.operators(), "GET", "/metrics");
      JsonObject metrics = cluster.http().read(call, JsonObject.class);
      cpu += stats.cpuMillis();
      resident += stats.residentKb();
      threads += stats.threads();
      bytes += metrics.get("peer.control.bytes").getAsLong();
      frames += metrics.get("peer.control.frames").getAsLong();
    }
    return new ControlSample(
        System.nanoTime() / 1e9,
        cluster.daemons().size(),
        cpu,
        resident,
        threads,
        bytes,
        frames,
        platformCalls(cluster));
  }

  private static Map<String, Long> platformCalls(Cluster cluster)
      throws IOException, InterruptedException {
    HttpCall call = HttpCall.to(cluster.platformAddress(), "GET", "/judge");
    JsonObject counted = cluster.http().read(call, JsonObject.class).getAsJsonObject("calls");
    Map<String, Long> calls = new TreeMap<>();
    for (Map.Entry<String, JsonElement> kind : counted.entrySet()) {
      calls.put(kind.getKey(), kind.getValue().getAsLong());
    }
    return calls;
  }

  /** Returns what one daemon used a second since an earlier sample, and holds now. */
  Usage since(ControlSample before) {
    double perDaemon = (atSeconds - before.atSeconds) * daemons;
    Map<String, Double> byKind = new TreeMap<>();
    calls.forEach(
        (kind, count) ->
            byKind.put(kind, (count - before.calls.getOrDefault(kind, 0L)) / perDaemon));
    double sent = (bytes - before.bytes) / perDaemon;
    double packets = (frames - before.frames) / perDaemon;
    return new Usage(
        sent,
        sent + packets * PACKET_BYTES,
        (cpuMillis - before.cpuMillis) / perDaemon / 10,
        residentKb / 1_024.0 / daemons,
        (double) threads / daemons,
        byKind);
  }

  /**
   * Is what one daemon uses.
   *
   * @param bytes control bytes a second
   * @param bytesWithHeaders the same with a packet's headers for each frame
   * @param cpuPercent processor time, in per cent of a core
   * @param residentMb memory
   * @param threads threads
   * @param callsByKind calls to the platform a second
   */
  record Usage(
      double bytes,
      double bytesWithHeaders,
      double cpuPercent,
      double residentMb,
      double threads,
      Map<String, Double> callsByKind) {

    double platformCalls() {
      return callsByKind.values().stream().mapToDouble(Double::doubleValue).sum();
    }
  }
}
