package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Verifies what callers and operators see of loads while engines lose their adapters. */
class PlacementFailureTest {

  private static final long LIMIT_MS = 20_000;
  private static final long LOAD_LIMIT_MS = 10_000;
  private static final int RESTARTS = 5;

  // An engine restarts empty without pending requests. Under PEAK nothing is preloaded, since loads
  // are reserved for waiting callers; a requested adapter is loaded, and its answer is complete.
  // Once ORDINARY is in force, without a restart of the daemon, the engine is refilled in order of
  // demand, so that later callers find their adapters loaded.
  @Test
  void anEmptyEngineIsRefilledInOrderOfDemandOnceThePresetAllowsIt() throws Exception {
    try (Cluster cluster = cluster()) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      DaemonNode daemon = cluster.daemon("d1");
      sendRequests(cluster, 2, 3);
      sendRequests(cluster, 0, 5);
      sendRequests(cluster, 1, 1);
      preset(cluster, probe, "PEAK");
      cluster.setFaults(cluster.endpoint("e1").address(), "{\"restart\":true}");
      probe.await("restart seen", LIMIT_MS, () -> eventCount(cluster, "ENGINE_RESTARTED") == 1);
      int before = startedLoads(cluster).size();
      sendRequests(cluster, 3, 1);
      assertThat(startedLoads(cluster).subList(before, startedLoads(cluster).size()))
          .containsExactly(ClusterNames.adapter(3));

      preset(cluster, probe, "ORDINARY");
      probe.await("refilled", LOAD_LIMIT_MS, () -> startedLoads(cluster).size() == before + 4);

      assertThat(startedLoads(cluster).subList(before + 1, before + 4))
          .containsExactly(
              ClusterNames.adapter(0), ClusterNames.adapter(2), ClusterNames.adapter(1));
      assertThat(probe.statusField(daemon, "preset")).isEqualTo("ORDINARY");
    }
  }

  // The engine restarts right after the owner saw it hold the adapter, so a request routed to that
  // copy reaches an engine without it. Its caller gets one complete answer from the adapter and
  // version it named, after a load, or NOT RUN if no other engine is left to try. The owner detects
  // the empty slots, and the engine accepts exactly the requests that callers got answers to.
  @Test
  void anEngineThatRestartsBetweenRouteAndSendRunsNothingOnAnEmptySlot() throws Exception {
    try (Cluster cluster = cluster()) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      sendRequests(cluster, 0, 1);
      long before = probe.auditCounter("e1", "accepted");
      int complete = 0;
      for (int i = 0; i < RESTARTS; i++) {
        cluster.setFaults(cluster.endpoint("e1").address(), "{\"restart\":true}");
        HttpAnswer answer = call(cluster, 0);
        if (answer.ok()) {
          complete++;
          assertThat(answer.headers().get("Adapter-Version"))
              .isEqualTo(ClusterNames.CURRENT_VERSION);
          assertThat(answer.text()).contains(ClusterNames.adapter(0) + "@v2");
        } else {
          assertThat(answer.text()).contains("\"outcome\":\"NOT_RUN\"");
        }
        probe.await("serves again", LIMIT_MS, () -> call(cluster, 0).ok());
        complete++;
      }

      assertThat(probe.auditCounter("e1", "not_loaded")).as("met an empty engine").isPositive();
      assertThat(probe.auditCounter("e1", "accepted") - before)
          .as("each ran once")
          .isEqualTo(complete);
    }
  }

  // Every load fails, after a delay, while a caller waits for an adapter that no engine holds; then
  // the weight store recovers. The caller waits through the failed loads and gets the complete
  // answer of the version it named, since a failed load leaves no slot that a request could run on.
  @Test
  void aCallerWaitsThroughLoadsThatFail() throws Exception {
    try (Cluster cluster = cluster()) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      long before = probe.auditCounter("e1", "accepted");
      int answered = eventCount(cluster, "REQUEST_ANSWERED");
      cluster.setFaults(cluster.endpoint("e1").address(), "{\"fail_loads\":1.0}");
      Thread caller = new Thread(() -> sendRequestUnchecked(cluster));
      caller.start();
      probe.await(
          "two failed loads", LIMIT_MS, () -> probe.auditCounter("e1", "failed_loads") >= 2);
      assertThat(probe.auditCounter("e1", "accepted")).isEqualTo(before);
      cluster.setFaults(cluster.endpoint("e1").address(), "{}");
      caller.join(LIMIT_MS);

      assertThat(probe.auditCounter("e1", "accepted")).isEqualTo(before + 1);
      assertThat(eventCount(cluster, "REQUEST_ANSWERED")).isEqualTo(answered + 1);
    }
  }

  // An engine holds an adapter of which its owner has no record, for example because the answer to
  // a load was lost or a former owner's load ended after the takeover. The owner counts its slot as
  // free, and the engine refuses each load into it, so callers repeatedly get LOAD_FAILED. Reading
  // the engine's state shows what the slot holds; that adapter is evicted like any other, and the
  // caller gets an answer.
  @Test
  void anAdapterUnknownToItsOwnerIsEvictedForARequestedOne() throws Exception {
    try (Cluster cluster =
        Cluster.builder()
            .daemons(1)
            .engines(1)
            .adapters(3)
            .engineSize(2, 16)
            .checksFence(false)
            .start()) {
      cluster.awaitServing(LIMIT_MS);
      sendRequests(cluster, 0, 1);
      HttpCall order =
          HttpCall.to(cluster.endpoint("e1").address(), "POST", "/v1/orders")
              .body(
                  "{\"order\":\"LOAD\",\"fence\":0,\"adapter\":\"%s\",\"version\":\"%s\"}"
                      .formatted(ClusterNames.adapter(2), ClusterNames.CURRENT_VERSION));
      assertThat(cluster.http().send(order).status()).isEqualTo(200);

      sendRequests(cluster, 1, 1);
      assertThat(eventCount(cluster, "EVICTED")).isPositive();
    }
  }

  private static Cluster cluster() throws Exception {
    Cluster cluster = Cluster.builder().daemons(1).engines(1).adapters(4).engineSize(4, 16).start();
    cluster.awaitServing(LIMIT_MS);
    return cluster;
  }

  private static void preset(Cluster cluster, OwnershipProbe probe, String preset)
      throws Exception {
    HttpCall read = HttpCall.to(cluster.platformAddress(), "GET", "/v1/objects/preset/current");
    String expectedVersion =
        cluster.http().read(read, JsonObject.class).get("version").getAsString();
    HttpCall write =
        HttpCall.to(cluster.platformAddress(), "PUT", "/v1/objects/preset/current")
            .header("If-Match", expectedVersion)
            .header("Operation-Id", "preset-" + preset)
            .body("{\"preset\":\"%s\",\"effective_at\":0}".formatted(preset));
    assertThat(cluster.http().send(write).ok()).isTrue();
    DaemonNode daemon = cluster.daemon("d1");
    probe.await(preset, LIMIT_MS, () -> probe.statusField(daemon, "preset").equals(preset));
  }

  private static void sendRequestUnchecked(Cluster cluster) {
    try {
      sendRequests(cluster, 1, 1);
    } catch (Exception failed) {
      throw new AssertionError(failed);
    }
  }

  private static void sendRequests(Cluster cluster, int adapter, int times) throws Exception {
    for (int i = 0; i < times; i++) {
      HttpAnswer answer = call(cluster, adapter);
      assertThat(answer.status()).as(answer.text()).isEqualTo(200);
      assertThat(answer.headers().get("Adapter-Version")).isEqualTo(ClusterNames.CURRENT_VERSION);
    }
  }

  private static HttpAnswer call(Cluster cluster, int adapter) throws Exception {
    String name = ClusterNames.adapter(adapter);
    String body = "{\"model\":\"%s\",\"prompt\":\"p\",\"max_tokens\":2}".formatted(name);
    return cluster
        .http()
        .send(
            HttpCall.to(cluster.daemon("d1").callerAddress(), "POST", "/v1/completions")
                .body(body));
  }

  private static List<String> startedLoads(Cluster cluster) throws Exception {
    List<String> adapters = new ArrayList<>();
    for (JsonElement event : events(cluster, "LOAD_STARTED")) {
      String version = event.getAsJsonObject().get("adapter").getAsString();
      adapters.add(version.substring(0, version.indexOf('@')));
    }
    return adapters;
  }

  private static int eventCount(Cluster cluster, String kind) throws Exception {
    return events(cluster, kind).size();
  }

  private static List<JsonElement> events(Cluster cluster, String kind) throws Exception {
    HttpCall call =
        HttpCall.to(cluster.daemon("d1").operatorAddress(), "GET", "/timeline?kind=" + kind);
    return cluster.http().read(call, JsonObject.class).getAsJsonArray("events").asList();
  }
}
