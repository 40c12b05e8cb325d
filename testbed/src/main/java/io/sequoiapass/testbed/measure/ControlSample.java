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
 * Resource counters summed over all daemons of a cluster at one point in time.
 *
 * @param atSeconds time of the sample, in seconds on the monotonic clock
 * @param daemons number of daemons
 * @param cpuMillis processor time, in milliseconds
 * @param residentKb resident memory, in KiB
 * @param threads number of threads
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

  /**
   * Size of IPv4 and TCP headers with time stamps; a control frame is sent in a packet of its own.
   */
  private static final int PACKET_HEADER_BYTES = 52;

  static ControlSample of(Cluster cluster) throws IOException, InterruptedException {
    long cpu = 0;
    long resident = 0;
    long threads = 0;
    long bytes = 0;
    long frames = 0;
    for (DaemonNode daemon : cluster.daemons()) {
      ProcessStats stats = daemon.process().stats();
      HttpCall call = HttpCall.to(daemon.operatorAddress(), "GET", "/metrics");
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

  /**
   * Returns the usage per daemon: rates since an earlier sample, and current memory and threads.
   */
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
        sent + packets * PACKET_HEADER_BYTES,
        (cpuMillis - before.cpuMillis) / perDaemon / 10,
        residentKb / 1_024.0 / daemons,
        (double) threads / daemons,
        byKind);
  }

  /**
   * Mean resource usage of one daemon.
   *
   * @param bytes control bytes per second
   * @param bytesWithHeaders control bytes per second including packet headers for each frame
   * @param cpuPercent processor time, as a percentage of one core
   * @param residentMb resident memory, in MiB
   * @param threads number of threads
   * @param callsByKind calls to the platform per second, by kind
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
