package io.sequoiapass.testbed.measure;

import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.DaemonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Counts of calls to the platform by kind and of the daemons' control bytes, up to a point in time
 * or between two.
 *
 * @param seconds the time on the monotonic clock, or the difference of two times
 * @param calls number of calls by kind, including those of the measurement itself
 * @param controlBytes control bytes that each daemon sent to its peers, by daemon
 */
record PlatformCalls(double seconds, Map<String, Long> calls, Map<String, Long> controlBytes) {

  private static final List<String> KINDS = List.of("WATCH", "HOSTS", "LIST", "READ", "PUT");

  static PlatformCalls of(Cluster cluster) throws IOException, InterruptedException {
    HttpCall judge = HttpCall.to(cluster.platformAddress(), "GET", "/judge");
    JsonObject counted = cluster.http().read(judge, JsonObject.class).getAsJsonObject("calls");
    Map<String, Long> calls = new TreeMap<>();
    counted.asMap().forEach((kind, count) -> calls.put(kind, count.getAsLong()));
    Map<String, Long> bytes = new TreeMap<>();
    for (DaemonNode daemon : cluster.daemons()) {
      HttpCall metrics = HttpCall.to(daemon.operatorAddress(), "GET", "/metrics");
      JsonObject read = cluster.http().read(metrics, JsonObject.class);
      bytes.put(
          daemon.id() + "@" + daemon.dataCentre(), read.get("peer.control.bytes").getAsLong());
    }
    return new PlatformCalls(System.nanoTime() / 1e9, calls, bytes);
  }

  PlatformCalls since(PlatformCalls before) {
    return new PlatformCalls(
        seconds - before.seconds,
        difference(calls, before.calls),
        difference(controlBytes, before.controlBytes));
  }

  private static Map<String, Long> difference(Map<String, Long> now, Map<String, Long> before) {
    Map<String, Long> differences = new TreeMap<>();
    now.forEach((key, value) -> differences.put(key, value - before.getOrDefault(key, 0L)));
    return differences;
  }

  /** Returns rates as table cells: calls by kind, per daemon and per data centre, and bytes. */
  String row() {
    String byKind =
        KINDS.stream()
            .map(kind -> "%.1f".formatted(calls.getOrDefault(kind, 0L) / seconds))
            .collect(Collectors.joining(" | "));
    double all = calls.values().stream().mapToLong(Long::longValue).sum() / seconds;
    int daemons = controlBytes.size();
    long dataCentres =
        controlBytes.keySet().stream()
            .map(name -> name.substring(name.indexOf('@') + 1))
            .distinct()
            .count();
    double mean = controlBytes.values().stream().mapToLong(Long::longValue).average().orElse(0);
    long most = controlBytes.values().stream().mapToLong(Long::longValue).max().orElse(0);
    return "%s | %.2f | %.1f | %.0f | %.0f"
        .formatted(byKind, all / daemons, all / dataCentres, mean / seconds, most / seconds);
  }
}
