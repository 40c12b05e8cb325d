package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.version.WatcherElection;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.proxy.ProxyFault;
import io.sequoiapass.testbed.wire.Json;
import io.sequoiapass.testbed.wire.ObjectValues;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Accepted changes under cuts, pauses and restarts: in force in time, and never back. */
class ConfigurationProcessTest {

  private static final long LIMIT_MS = 20_000;
  private static final long PROPAGATION_MS = 4_000;
  private static final String NORTH = "yard-north";
  private static final String SOUTH = "yard-south";
  private static final List<String> VERSIONS = List.of("v1", "v2");
  private static final MillisClock WALL = MillisClock.wall();

  private static Cluster cluster(int daemons, String... dataCentres) throws Exception {
    Cluster cluster =
        Cluster.builder()
            .dataCentres(dataCentres)
            .daemons(daemons)
            .engines(1)
            .adapters(4)
            .engineSize(8, 64)
            .withProxies()
            .daemonJvmFlags("-Xmx96m")
            .start();
    cluster.awaitServing(LIMIT_MS);
    return cluster;
  }

  private static List<String> watchers(Cluster cluster, String dataCentre) {
    List<DaemonId> members =
        cluster.daemons().stream()
            .filter(node -> node.dataCentre().equals(dataCentre))
            .map(node -> new DaemonId(node.id()))
            .toList();
    return WatcherElection.create(new DataCentreId(dataCentre), 2).watchers(members).stream()
        .map(DaemonId::value)
        .toList();
  }

  private static void putVersion(Cluster cluster, String version) throws Exception {
    ObjectValues.Adapter changed = new ObjectValues.Adapter(ClusterNames.MODEL, version, VERSIONS);
    cluster.objects().put("adapter", ClusterNames.adapter(0), changed);
  }

  private static boolean answers(Cluster cluster, DaemonNode daemon, String version)
      throws Exception {
    String body =
        "{\"model\":\"%s\",\"prompt\":\"probe\",\"max_tokens\":1}"
            .formatted(ClusterNames.adapter(0));
    HttpAnswer answer =
        cluster.http().send(HttpCall.to(daemon.callers(), "POST", "/v1/completions").body(body));
    return answer.ok() && version.equals(answer.headers().get("Adapter-Version"));
  }

  private static void awaitAll(OwnershipProbe probe, Cluster cluster, String version)
      throws Exception {
    long start = System.nanoTime();
    for (DaemonNode daemon : cluster.daemons()) {
      long left = PROPAGATION_MS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
      probe.await(version + " at " + daemon.id(), left, () -> answers(cluster, daemon, version));
    }
  }

  @Nested
  class Versions {

    // Both watchers of the data centre lose the platform, one by a closed and one by a silent
    // connection; their peers do not. A caller must get the changed version within 4 s of the
    // change all the same: the others notice, and two of them watch in their place.
    @Test
    void aChangeIsInForceThoughBothWatchersAreCutOff() throws Exception {
      try (Cluster cluster = cluster(4, NORTH)) {
        OwnershipProbe probe = new OwnershipProbe(cluster);
        List<String> watchers = watchers(cluster, NORTH);
        cluster.proxies().toPlatform(watchers.get(0)).set(ProxyFault.cut());
        cluster.proxies().toPlatform(watchers.get(1)).set(ProxyFault.freeze());

        putVersion(cluster, "v1");

        awaitAll(probe, cluster, "v1");
      }
    }

    // A daemon is paused, the adapter's version changes, and the daemon wakes with the old one. It
    // must neither serve the old version for long nor bring it back to its peers, which it pushes
    // to and compares digests with.
    @Test
    void aDaemonThatWakesBringsNoOldVersionBack() throws Exception {
      try (Cluster cluster = cluster(3, NORTH)) {
        OwnershipProbe probe = new OwnershipProbe(cluster);
        DaemonNode paused = cluster.daemon(watchers(cluster, NORTH).get(0));
        List<DaemonNode> others =
            cluster.daemons().stream().filter(daemon -> daemon != paused).toList();
        paused.process().pause();
        putVersion(cluster, "v1");
        String changed = "adapter/" + ClusterNames.adapter(0) + "@" + versionOf(adapter(cluster));
        for (DaemonNode daemon : others) {
          probe.await(
              changed + " at " + daemon.id(),
              LIMIT_MS,
              () -> applied(cluster, daemon).contains(changed));
        }
        paused.process().resume();
        probe.await("v1 at the woken one", PROPAGATION_MS, () -> answers(cluster, paused, "v1"));
        for (DaemonNode daemon : cluster.daemons()) {
          assertThat(appliedBackwards(cluster, daemon)).as("went back at " + daemon.id()).isEmpty();
          assertThat(answers(cluster, daemon, "v1")).isTrue();
        }
      }
    }

    // A peer that was away for long pushes the version that it still has, after the change is in
    // force. A caller must not get the old version again. What follows the push on the same
    // connection, the end of an adapter that never was, shows that the push was read.
    @Test
    void aStalePeerThatPushesAnOldVersionChangesNothing() throws Exception {
      try (Cluster cluster = cluster(3, NORTH)) {
        OwnershipProbe probe = new OwnershipProbe(cluster);
        DaemonNode daemon = cluster.daemon("d1");
        String old = adapter(cluster);
        putVersion(cluster, "v1");
        awaitAll(probe, cluster, "v1");
        long version = versionOf(adapter(cluster));
        String mark = "{\"kind\":\"adapter\",\"name\":\"mark\",\"version\":%d}".formatted(version);

        try (StalePeer peer = StalePeer.connect(daemon.peers(), "d3", NORTH)) {
          peer.push(old);
          peer.push(mark);
          probe.await(
              "read", LIMIT_MS, () -> applied(cluster, daemon).contains("adapter/mark@" + version));
        }

        assertThat(appliedBackwards(cluster, daemon)).isEmpty();
        assertThat(answers(cluster, daemon, "v1")).isTrue();
      }
    }

    private long versionOf(String object) {
      return Json.GSON.fromJson(object, JsonObject.class).get("version").getAsLong();
    }

    private String adapter(Cluster cluster) throws Exception {
      String path = "/v1/objects/adapter/" + ClusterNames.adapter(0);
      return cluster.http().send(HttpCall.to(cluster.platformAddress(), "GET", path)).text();
    }

    // An operator's change takes effect and its answer is lost. The operator's tool sends it again
    // with the same operation id, meets a conflict with its own change and takes that for success;
    // nothing is applied twice, and no daemon goes back.
    @Test
    void aChangeWhoseAnswerIsLostIsAppliedOnce() throws Exception {
      try (Cluster cluster = cluster(3, NORTH)) {
        OwnershipProbe probe = new OwnershipProbe(cluster);
        String path = "/v1/objects/adapter/" + ClusterNames.adapter(0);
        JsonObject held =
            cluster
                .http()
                .read(HttpCall.to(cluster.platformAddress(), "GET", path), JsonObject.class);
        HttpCall change =
            HttpCall.to(cluster.platformAddress(), "PUT", path)
                .header("If-Match", held.get("version").getAsString())
                .header("Operation-Id", "change-1")
                .body(
                    "{\"model\":\"%s\",\"current\":\"v1\",\"versions\":[\"v1\",\"v2\"]}"
                        .formatted(ClusterNames.MODEL));
        cluster.faults(cluster.platformAddress(), "{\"lose_answers\":1.0}");
        assertThat(isLost(cluster, change)).isTrue();
        cluster.faults(cluster.platformAddress(), "{}");

        HttpAnswer again = cluster.http().send(change);

        assertThat(again.status()).isEqualTo(409);
        assertThat(again.text()).contains("change-1");
        awaitAll(probe, cluster, "v1");
        for (DaemonNode daemon : cluster.daemons()) {
          assertThat(appliedBackwards(cluster, daemon)).isEmpty();
        }
      }
    }

    private boolean isLost(Cluster cluster, HttpCall change) throws Exception {
      try {
        cluster.http().send(change);
        return false;
      } catch (IOException lost) {
        return true;
      }
    }
  }

  /** Returns what a daemon's time line shows as applied, as kind/name@version, in order. */
  private static List<String> applied(Cluster cluster, DaemonNode daemon) throws Exception {
    String path = "/timeline?kind=CONFIGURATION_APPLIED&limit=10000";
    JsonObject line =
        cluster.http().read(HttpCall.to(daemon.operators(), "GET", path), JsonObject.class);
    List<String> applied = new ArrayList<>();
    for (JsonElement event : line.getAsJsonArray("events")) {
      for (String word : event.getAsJsonObject().get("detail").getAsString().split(" ", -1)) {
        if (word.indexOf('@') > 0) {
          applied.add(word);
        }
      }
    }
    return applied;
  }

  /** Returns the objects of which an older version was applied after a newer one. */
  private static List<String> appliedBackwards(Cluster cluster, DaemonNode daemon)
      throws Exception {
    Map<String, Long> newest = new HashMap<>();
    List<String> backwards = new ArrayList<>();
    for (String word : applied(cluster, daemon)) {
      int at = word.indexOf('@');
      long version = Long.parseLong(word.substring(at + 1));
      Long before = newest.put(word.substring(0, at), version);
      if (before != null && before >= version) {
        backwards.add(word);
      }
    }
    return backwards;
  }

  @Nested
  class Presets {

    private void putPreset(Cluster cluster, String preset, long effectiveAt) throws Exception {
      cluster.objects().put("preset", "current", new ObjectValues.Preset(preset, effectiveAt));
    }

    private void cutOff(Cluster cluster, String dataCentre, ProxyFault fault) {
      for (DaemonNode inside : cluster.daemons()) {
        if (!inside.dataCentre().equals(dataCentre)) {
          continue;
        }
        cluster.proxies().toPlatform(inside.id()).set(fault);
        for (DaemonNode outside : cluster.daemons()) {
          if (!outside.dataCentre().equals(dataCentre)) {
            cluster.proxies().toPeer(inside.id(), outside.id()).set(fault);
            cluster.proxies().toPeer(outside.id(), inside.id()).set(fault);
          }
        }
      }
    }

    // A data centre is cut off between the acceptance of a preset and its moment. It knew of the
    // change, so the preset comes into force there at the same moment as everywhere. Of the next
    // change it cannot know: it keeps the one it has, and takes the new one once it is back.
    @Test
    void aDataCentreCutOffBeforeTheMomentOfAPresetChangesWithTheOthers() throws Exception {
      try (Cluster cluster = cluster(2, NORTH, SOUTH)) {
        OwnershipProbe probe = new OwnershipProbe(cluster);
        long moment = WALL.millis() + 3_000;
        putPreset(cluster, "PEAK", moment);
        probe.await("known everywhere", 2_500, () -> isSameRevision(cluster, probe));
        cutOff(cluster, SOUTH, ProxyFault.cut());
        assertThat(WALL.millis()).as("cut before the moment").isLessThan(moment);
        for (DaemonNode daemon : cluster.daemons()) {
          probe.await(
              "PEAK at " + daemon.id(),
              PROPAGATION_MS,
              () -> inForceAt(cluster, daemon, "PEAK") > 0);
          assertThat(inForceAt(cluster, daemon, "PEAK"))
              .as("moment at " + daemon.id())
              .isBetween(moment, moment + 1_000);
        }

        putPreset(cluster, "MAINTENANCE", 0);
        DaemonNode north = cluster.daemon("d1");
        DaemonNode south = cluster.daemon("d3");
        probe.await(
            "MAINTENANCE in the north",
            PROPAGATION_MS,
            () -> probe.statusField(north, "preset").equals("MAINTENANCE"));
        assertThat(probe.statusField(south, "preset")).isEqualTo("PEAK");
        cutOff(cluster, SOUTH, ProxyFault.none());
        probe.await(
            "MAINTENANCE in the south",
            LIMIT_MS,
            () -> probe.statusField(south, "preset").equals("MAINTENANCE"));
      }
    }

    // MAINTENANCE is in force, PEAK is to come, and a daemon is killed and restarted in between. It
    // learns of PEAK only, and of no preset before. It must not serve with a third one, ORDINARY,
    // which nobody else has: it shows readiness only from the moment on, with PEAK.
    @Test
    void aDaemonRestartedBeforeTheMomentOfChangeServesWithNoOtherPreset() throws Exception {
      try (Cluster cluster = cluster(3, NORTH)) {
        OwnershipProbe probe = new OwnershipProbe(cluster);
        DaemonNode restarted = cluster.daemon("d2");
        putPreset(cluster, "MAINTENANCE", 0);
        allHave(probe, cluster, "MAINTENANCE");
        long moment = WALL.millis() + 8_000;
        putPreset(cluster, "PEAK", moment);
        restarted.process().kill();
        cluster.restart(restarted);
        probe.await("ready", LIMIT_MS, () -> probe.ready(restarted));

        assertThat(WALL.millis()).as("ready at").isGreaterThanOrEqualTo(moment);
        assertThat(probe.statusField(restarted, "preset")).isEqualTo("PEAK");
        allHave(probe, cluster, "PEAK");
      }
    }

    private void allHave(OwnershipProbe probe, Cluster cluster, String preset) throws Exception {
      for (DaemonNode daemon : cluster.daemons()) {
        probe.await(
            preset + " at " + daemon.id(),
            PROPAGATION_MS,
            () -> probe.statusField(daemon, "preset").equals(preset));
      }
    }

    private boolean isSameRevision(Cluster cluster, OwnershipProbe probe) throws Exception {
      String path = "/v1/objects/preset/current";
      String version =
          cluster
              .http()
              .read(HttpCall.to(cluster.platformAddress(), "GET", path), JsonObject.class)
              .get("version")
              .getAsString();
      for (DaemonNode daemon : cluster.daemons()) {
        if (!probe.statusField(daemon, "revision").equals(version)) {
          return false;
        }
      }
      return true;
    }

    /** Returns when a preset came into force at a daemon, by its time line; 0 if it never did. */
    private long inForceAt(Cluster cluster, DaemonNode daemon, String preset) throws Exception {
      HttpCall call = HttpCall.to(daemon.operators(), "GET", "/timeline?kind=PRESET_IN_FORCE");
      JsonObject line = cluster.http().read(call, JsonObject.class);
      for (JsonElement event : line.getAsJsonArray("events")) {
        if (event.getAsJsonObject().get("detail").getAsString().equals(preset)) {
          return event.getAsJsonObject().get("wallMs").getAsLong();
        }
      }
      return 0;
    }
  }
}
