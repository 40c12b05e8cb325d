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
 * Counts calls to the platform by kind, and control bytes of daemons, up to a moment or between
 * two.
 *
 * @param seconds the time
 * @param calls calls by kind, those of the measurement itself among them
 * @param controlBytes bytes that each daemon sent to peers for control
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
      HttpCall metrics = HttpCall.to(daemon.operators(), "GET", "/metrics");
      JsonObject read = cluster.http().read(metrics, JsonObject.class);
      bytes.put(
          daemon.id() + "@" + daemon.dataCentre(), read.get("peer.control.bytes").getAsLong());
    }
    return new PlatformCalls(System.nanoTime() / 1e9, calls, bytes);
  }

  PlatformCalls since(PlatformCalls before) {
    return new PlatformCalls(
        seconds - before.seconds,
        less(calls, before.calls),
        less(controlBytes, before.controlBytes));
  }

  private static Map<String, Long> less(Map<String, Long> now, Map<String, Long> before) {
    Map<String, Long> difference = new TreeMap<>();
    now.forEach((key, value) -> difference.put(key, value - before.getOrDefault(key, 0L)));
    return difference;
  }

  /** Returns rates as cells of a table: by kind, a daemon, a data centre, bytes. */
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
