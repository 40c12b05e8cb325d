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

/**
 * Verifies that accepted configuration changes take effect in time and are never reverted, despite
 * network cuts, pauses and restarts.
 */
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

  private static boolean answersWith(Cluster cluster, DaemonNode daemon, String version)
      throws Exception {
    String body =
        "{\"model\":\"%s\",\"prompt\":\"probe\",\"max_tokens\":1}"
            .formatted(ClusterNames.adapter(0));
    HttpAnswer answer =
        cluster
            .http()
            .send(HttpCall.to(daemon.callerAddress(), "POST", "/v1/completions").body(body));
    return answer.ok() && version.equals(answer.headers().get("Adapter-Version"));
  }

  private static void awaitVersion(OwnershipProbe probe, Cluster cluster, String version)
      throws Exception {
    long start = System.nanoTime();
    for (DaemonNode daemon : cluster.daemons()) {
      long left = PROPAGATION_MS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
      probe.await(
          version + " at " + daemon.id(), left, () -> answersWith(cluster, daemon, version));
    }
  }

  @Nested
  class Versions {

    // Both watchers of the data centre lose the platform, one by a closed and one by a silent
    // connection; their peers still reach it. Callers must get the changed version within 4 s all
    // the same: the other daemons detect the loss, and two of them take over as watchers.
    @Test
    void aChangeIsInForceThoughBothWatchersAreCutOff() throws Exception {
      try (Cluster cluster = cluster(4, NORTH)) {
        OwnershipProbe probe = new OwnershipProbe(cluster);
        List<String> watchers = watchers(cluster, NORTH);
        cluster.proxies().toPlatform(watchers.get(0)).set(ProxyFault.cut());
        cluster.proxies().toPlatform(watchers.get(1)).set(ProxyFault.freeze());

        putVersion(cluster, "v1");

        awaitVersion(probe, cluster, "v1");
      }
    }

    // A daemon is paused, the adapter's version changes, and the daemon resumes with the old one.
    // It must neither serve the old version for long nor restore it at its peers, to which it
    // pushes objects and with which it compares digests.
    @Test
    void aResumedDaemonRestoresNoOldVersion() throws Exception {
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
        probe.await(
            "v1 at the resumed daemon", PROPAGATION_MS, () -> answersWith(cluster, paused, "v1"));
        for (DaemonNode daemon : cluster.daemons()) {
          assertThat(versionRegressions(cluster, daemon))
              .as("older version applied at " + daemon.id())
              .isEmpty();
          assertThat(answersWith(cluster, daemon, "v1")).isTrue();
        }
      }
    }

    // A peer that was disconnected for long pushes its old version after the change is in force.
    // Callers must not get the old version again. The push is followed on the same connection by
    // the deletion of an adapter that never existed, whose application shows that the push was
    // read.
    @Test
    void aStalePeerThatPushesAnOldVersionChangesNothing() throws Exception {
      try (Cluster cluster = cluster(3, NORTH)) {
        OwnershipProbe probe = new OwnershipProbe(cluster);
        DaemonNode daemon = cluster.daemon("d1");
        String old = adapter(cluster);
        putVersion(cluster, "v1");
        awaitVersion(probe, cluster, "v1");
        long version = versionOf(adapter(cluster));
        String marker =
            "{\"kind\":\"adapter\",\"name\":\"mark\",\"version\":%d}".formatted(version);

        try (StalePeer peer = StalePeer.connect(daemon.peerAddress(), "d3", NORTH)) {
          peer.push(old);
          peer.push(marker);
          probe.await(
              "read", LIMIT_MS, () -> applied(cluster, daemon).contains("adapter/mark@" + version));
        }

        assertThat(versionRegressions(cluster, daemon)).isEmpty();
        assertThat(answersWith(cluster, daemon, "v1")).isTrue();
      }
    }

    private long versionOf(String object) {
      return Json.GSON.fromJson(object, JsonObject.class).get("version").getAsLong();
    }

    private String adapter(Cluster cluster) throws Exception {
      String path = "/v1/objects/adapter/" + ClusterNames.adapter(0);
      return cluster.http().send(HttpCall.to(cluster.platformAddress(), "GET", path)).text();
    }

    // An operator's change takes effect, but its answer is lost. The operator's tool sends it again
    // with the same operation id, gets a conflict with its own change and treats that as success.
    // The change is applied once, and no daemon reverts to an older version.
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
        cluster.setFaults(cluster.platformAddress(), "{\"lose_answers\":1.0}");
        assertThat(isLost(cluster, change)).isTrue();
        cluster.setFaults(cluster.platformAddress(), "{}");

        HttpAnswer again = cluster.http().send(change);

        assertThat(again.status()).isEqualTo(409);
        assertThat(again.text()).contains("change-1");
        awaitVersion(probe, cluster, "v1");
        for (DaemonNode daemon : cluster.daemons()) {
          assertThat(versionRegressions(cluster, daemon)).isEmpty();
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

  /**
   * Returns the objects applied according to a daemon's timeline, as kind/name@version, in order.
   */
  private static List<String> applied(Cluster cluster, DaemonNode daemon) throws Exception {
    String path = "/timeline?kind=CONFIGURATION_APPLIED&limit=10000";
    JsonObject line =
        cluster.http().read(HttpCall.to(daemon.operatorAddress(), "GET", path), JsonObject.class);
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

  /** Returns the objects of which the same or an older version was applied after a newer one. */
  private static List<String> versionRegressions(Cluster cluster, DaemonNode daemon)
      throws Exception {
    Map<String, Long> newest = new HashMap<>();
    List<String> regressions = new ArrayList<>();
    for (String word : applied(cluster, daemon)) {
      int at = word.indexOf('@');
      long version = Long.parseLong(word.substring(at + 1));
      Long before = newest.put(word.substring(0, at), version);
      if (before != null && before >= version) {
        regressions.add(word);
      }
    }
    return regressions;
  }

  @Nested
  class Presets {

    private void putPreset(Cluster cluster, String preset, long effectiveAt) throws Exception {
      cluster.objects().put("preset", "current", new ObjectValues.Preset(preset, effectiveAt));
    }

    private void setDataCentreFault(Cluster cluster, String dataCentre, ProxyFault fault) {
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

    // A data centre is cut off after a preset is accepted and before it takes effect. Its daemons
    // already hold the change, so the preset takes effect there at the same time as everywhere
    // else. The next change cannot reach them: they keep the current preset and apply the new one
    // once the connection is restored.
    @Test
    void aDataCentreCutOffBeforeAPresetTakesEffectChangesWithTheOthers() throws Exception {
      try (Cluster cluster = cluster(2, NORTH, SOUTH)) {
        OwnershipProbe probe = new OwnershipProbe(cluster);
        long effectiveTime = WALL.millis() + 3_000;
        putPreset(cluster, "PEAK", effectiveTime);
        probe.await("known everywhere", 2_500, () -> allHaveCurrentRevision(cluster, probe));
        setDataCentreFault(cluster, SOUTH, ProxyFault.cut());
        assertThat(WALL.millis()).as("cut before the effective time").isLessThan(effectiveTime);
        for (DaemonNode daemon : cluster.daemons()) {
          probe.await(
              "PEAK at " + daemon.id(),
              PROPAGATION_MS,
              () -> effectiveTimeAt(cluster, daemon, "PEAK") > 0);
          assertThat(effectiveTimeAt(cluster, daemon, "PEAK"))
              .as("effective time at " + daemon.id())
              .isBetween(effectiveTime, effectiveTime + 1_000);
        }

        putPreset(cluster, "MAINTENANCE", 0);
        DaemonNode north = cluster.daemon("d1");
        DaemonNode south = cluster.daemon("d3");
        probe.await(
            "MAINTENANCE in the north",
            PROPAGATION_MS,
            () -> probe.statusField(north, "preset").equals("MAINTENANCE"));
        assertThat(probe.statusField(south, "preset")).isEqualTo("PEAK");
        setDataCentreFault(cluster, SOUTH, ProxyFault.none());
        probe.await(
            "MAINTENANCE in the south",
            LIMIT_MS,
            () -> probe.statusField(south, "preset").equals("MAINTENANCE"));
      }
    }

    // MAINTENANCE is in force and PEAK is scheduled when a daemon is killed and restarted. It
    // receives PEAK only, and no earlier preset. It must not serve with the default, ORDINARY,
    // which no other daemon has, so it is ready only from the time at which PEAK takes effect.
    @Test
    void aDaemonRestartedBeforeAPresetTakesEffectServesWithNoOtherPreset() throws Exception {
      try (Cluster cluster = cluster(3, NORTH)) {
        OwnershipProbe probe = new OwnershipProbe(cluster);
        DaemonNode restarted = cluster.daemon("d2");
        putPreset(cluster, "MAINTENANCE", 0);
        awaitPreset(probe, cluster, "MAINTENANCE");
        long effectiveTime = WALL.millis() + 8_000;
        putPreset(cluster, "PEAK", effectiveTime);
        restarted.process().kill();
        cluster.restart(restarted);
        probe.await("ready", LIMIT_MS, () -> probe.ready(restarted));

        assertThat(WALL.millis()).as("ready at").isGreaterThanOrEqualTo(effectiveTime);
        assertThat(probe.statusField(restarted, "preset")).isEqualTo("PEAK");
        awaitPreset(probe, cluster, "PEAK");
      }
    }

    private void awaitPreset(OwnershipProbe probe, Cluster cluster, String preset)
        throws Exception {
      for (DaemonNode daemon : cluster.daemons()) {
        probe.await(
            preset + " at " + daemon.id(),
            PROPAGATION_MS,
            () -> probe.statusField(daemon, "preset").equals(preset));
      }
    }

    private boolean allHaveCurrentRevision(Cluster cluster, OwnershipProbe probe) throws Exception {
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

    /**
     * Returns the wall-clock time in milliseconds at which a preset took effect at a daemon,
     * according to its timeline, or 0 if it never did.
     */
    private long effectiveTimeAt(Cluster cluster, DaemonNode daemon, String preset)
        throws Exception {
      HttpCall call =
          HttpCall.to(daemon.operatorAddress(), "GET", "/timeline?kind=PRESET_IN_FORCE");
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
