package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.load.ConsistencyChecker;
import io.sequoiapass.testbed.load.LoadPlan;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.Verdict;
import io.sequoiapass.testbed.wire.ObjectValues;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Verifies the effects of configuration changes on callers and operators: during a platform outage,
 * when made concurrently, and when an endpoint is taken out of service.
 */
class ConfigurationFailureTest {

  private static final long TIMEOUT_MS = 20_000;
  private static final long PROPAGATION_TIMEOUT_MS = 4_000;

  /** Time in which each request has a result: its deadline, the tool's grace period, a margin. */
  private static final long LAST_RESULT_MS = 27_000;

  private static Cluster cluster(int engines) throws Exception {
    Cluster cluster =
        Cluster.builder()
            .daemons(3)
            .engines(engines)
            .adapters(4)
            .engineSize(8, 64)
            .daemonJvmFlags("-Xmx96m")
            .start();
    cluster.awaitServing(TIMEOUT_MS);
    return cluster;
  }

  // A daemon is replaced during a platform outage and starts with stale or missing configuration.
  // It must not serve callers an older adapter version than the one in force, so it synchronizes
  // with its peers before it is ready. Callers must not wait for the end of the outage either: the
  // ownership table still names the previous incarnation, so the daemon serves the adapters that
  // are already loaded on its endpoints, but sends them no orders such as loads and unloads.
  @Test
  void aDaemonStartedDuringAnOutageHasTheConfigurationOfItsPeers() throws Exception {
    try (Cluster cluster = cluster(1)) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      List<String> versions = List.of("v1", ClusterNames.CURRENT_VERSION);
      ObjectValues.Adapter changed = new ObjectValues.Adapter(ClusterNames.MODEL, "v1", versions);
      cluster.objects().put("adapter", ClusterNames.adapter(0), changed);
      DaemonNode daemon = cluster.daemon("d1");
      probe.await(
          "all daemons serve v1", PROPAGATION_TIMEOUT_MS, () -> allAnswerWith(cluster, "v1"));
      cluster.setFaults(cluster.platformAddress(), "{\"outage\":true}");

      daemon.process().kill();
      cluster.restart(daemon);
      probe.await("ready without the platform", TIMEOUT_MS, () -> probe.ready(daemon));

      assertThat(probe.statusField(daemon, "revision"))
          .isEqualTo(probe.statusField(cluster.daemon("d2"), "revision"));
      assertThat(probe.statusField(daemon, "preset")).isEqualTo("ORDINARY");
      probe.await(
          "restarted daemon serves v1", TIMEOUT_MS, () -> answersWith(cluster, daemon, "v1"));
    }
  }

  private static boolean allAnswerWith(Cluster cluster, String version) throws Exception {
    for (DaemonNode daemon : cluster.daemons()) {
      if (!answersWith(cluster, daemon, version)) {
        return false;
      }
    }
    return true;
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

  // Two operators change the preset concurrently, both on the basis of the same version. One gets a
  // conflict, and every daemon ends up with the other's preset.
  @Test
  void exactlyOneOfTwoConcurrentPresetsIsInForceEverywhere() throws Exception {
    try (Cluster cluster = cluster(1)) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      InetSocketAddress platform = cluster.platformAddress();
      HttpCall read = HttpCall.to(platform, "GET", "/v1/objects/preset/current");
      String expectedVersion =
          cluster.http().read(read, JsonObject.class).get("version").getAsString();
      CompletableFuture<Integer> peak = changePreset(cluster, "PEAK", expectedVersion);
      CompletableFuture<Integer> maintenance =
          changePreset(cluster, "MAINTENANCE", expectedVersion);

      assertThat(List.of(peak.get(), maintenance.get())).containsExactlyInAnyOrder(200, 409);
      String winner = peak.get() == 200 ? "PEAK" : "MAINTENANCE";
      for (DaemonNode daemon : cluster.daemons()) {
        probe.await(
            winner + " at " + daemon.id(),
            PROPAGATION_TIMEOUT_MS,
            () -> probe.statusField(daemon, "preset").equals(winner));
      }
    }
  }

  private static CompletableFuture<Integer> changePreset(
      Cluster cluster, String preset, String expectedVersion) {
    HttpCall call =
        HttpCall.to(cluster.platformAddress(), "PUT", "/v1/objects/preset/current")
            .header("If-Match", expectedVersion)
            .header("Operation-Id", "race-" + preset)
            .body("{\"preset\":\"%s\",\"effective_at\":0}".formatted(preset));
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return cluster.http().send(call).status();
          } catch (Exception failed) {
            throw new AssertionError(failed);
          }
        });
  }

  // An operator takes an endpoint out of service before maintenance of its host; requests that are
  // still started there are aborted when the host shuts down. From 2 s after the change no request
  // starts there, and all answers stay complete. Once reactivated, the endpoint accepts requests
  // again.
  @Test
  void aLeavingEndpointGetsNoNewWorkUntilReactivated() throws Exception {
    try (Cluster cluster = cluster(2)) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      try (LoadTool tool =
          LoadTool.to(cluster.daemons().stream().map(DaemonNode::callerAddress).toList())) {
        tool.start(new LoadPlan(9, 40, 4, 0, 10, 0, 0, 0, 8).requests());
        probe.await(
            "e1 accepts requests", TIMEOUT_MS, () -> probe.auditCounter("e1", "accepted") > 0);
        long start = System.nanoTime();
        setState(cluster, "LEAVING");
        probe.await("2 s since the state change", TIMEOUT_MS, () -> elapsedMs(start) >= 2_000);
        long after = probe.auditCounter("e1", "accepted");
        probe.await("4 s since the state change", TIMEOUT_MS, () -> elapsedMs(start) >= 4_000);
        assertThat(probe.auditCounter("e1", "accepted")).as("accepted after 2 s").isEqualTo(after);
        setState(cluster, "ACTIVE");
        probe.await(
            "e1 accepts requests again",
            TIMEOUT_MS,
            () -> probe.auditCounter("e1", "accepted") > after);

        LoadReport report = ConsistencyChecker.of(cluster).apply(tool.await(LAST_RESULT_MS));
        assertThat(report.reasons(5)).isEmpty();
        assertThat(report.count(Verdict.COMPLETE)).isEqualTo(report.sent());
      }
    }
  }

  private static long elapsedMs(long start) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
  }

  private static void setState(Cluster cluster, String state) throws Exception {
    JsonObject endpoint = cluster.objects().value("endpoint", "e1");
    endpoint.addProperty("state", state);
    cluster.objects().put("endpoint", "e1", endpoint);
  }
}
