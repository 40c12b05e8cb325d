package io.sequoiapass.testbed.measure;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.wire.Json;
import io.sequoiapass.testbed.wire.ObjectValues;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Changes adapters and finds in the daemons' time lines when each change was applied. */
final class ChangeWatch {

  private static final long POLL_INTERVAL_MS = 250;

  private final Cluster cluster;
  private final MillisClock wall = MillisClock.wall();
  private final long since = wall.millis();
  private final List<Change> changes = new ArrayList<>();

  ChangeWatch(Cluster cluster) {
    this.cluster = cluster;
  }

  /** Changes an adapter; the start time is taken before the call, so that no delay is omitted. */
  void change(String adapter) throws IOException, InterruptedException {
    List<String> versions = List.of(ClusterNames.PREVIOUS_VERSION, ClusterNames.CURRENT_VERSION);
    ObjectValues.Adapter value =
        new ObjectValues.Adapter(ClusterNames.MODEL, ClusterNames.CURRENT_VERSION, versions);
    HttpCall call =
        HttpCall.to(cluster.platformAddress(), "PUT", "/v1/objects/adapter/" + adapter)
            .header("Operation-Id", "measure-" + changes.size())
            .body(Json.GSON.toJson(value));
    long sentAt = wall.millis();
    JsonObject stored = cluster.http().read(call, JsonObject.class);
    changes.add(new Change(adapter, stored.get("version").getAsLong(), sentAt));
  }

  /** Waits until all daemons have applied all changes, or until the limit has passed. */
  PropagationTimes await(long limitMs) throws IOException, InterruptedException {
    long end = wall.millis() + limitMs;
    PropagationTimes times = times();
    while (times.lost() > 0 && wall.millis() < end) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
      times = times();
    }
    return times;
  }

  private PropagationTimes times() throws IOException, InterruptedException {
    List<Long> millis = new ArrayList<>();
    int lost = 0;
    for (DaemonNode daemon : cluster.daemons()) {
      Map<String, List<Applied>> applied = applied(daemon);
      for (Change change : changes) {
        long at =
            applied.getOrDefault(change.adapter, List.of()).stream()
                .filter(one -> one.version >= change.version)
                .mapToLong(Applied::wallMs)
                .min()
                .orElse(-1);
        if (at < 0) {
          lost++;
        } else {
          millis.add(at - change.sentAt);
        }
      }
    }
    return new PropagationTimes(millis, changes.size(), lost);
  }

  /** Returns the versions that a daemon applied, by adapter name. */
  private Map<String, List<Applied>> applied(DaemonNode daemon)
      throws IOException, InterruptedException {
    String query = "/timeline?kind=CONFIGURATION_APPLIED&limit=10000&since=" + since;
    JsonObject answer =
        cluster.http().read(HttpCall.to(daemon.operatorAddress(), "GET", query), JsonObject.class);
    Map<String, List<Applied>> found = new HashMap<>();
    for (JsonElement event : answer.getAsJsonArray("events")) {
      long wallMs = event.getAsJsonObject().get("wallMs").getAsLong();
      for (String word : event.getAsJsonObject().get("detail").getAsString().split(" ", -1)) {
        int at = word.indexOf('@');
        if (at > 0) {
          String name = word.substring(word.indexOf('/') + 1, at);
          long version = Long.parseLong(word.substring(at + 1));
          found.computeIfAbsent(name, first -> new ArrayList<>()).add(new Applied(version, wallMs));
        }
      }
    }
    return found;
  }

  private record Change(String adapter, long version, long sentAt) {}

  private record Applied(long version, long wallMs) {}
}
