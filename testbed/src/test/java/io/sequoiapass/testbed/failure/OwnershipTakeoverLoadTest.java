package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.launch.EndpointNode;
import io.sequoiapass.testbed.load.ConsistencyChecker;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.PlannedRequest;
import io.sequoiapass.testbed.load.RequestResult;
import io.sequoiapass.testbed.load.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

/** Verifies what callers of other endpoints see during a takeover. */
class OwnershipTakeoverLoadTest {

  private static final long LIMIT_MS = 30_000;
  private static final int LEASE_MS = 3_000;
  private static final int ADAPTERS = 12;
  private static final int RATE = 40;
  private static final int BEFORE_SECONDS = 5;
  private static final int DURING_SECONDS = 6;

  /** Limit within one run; a wait for the lease would add a second or more, far above it. */
  private static final long MAX_ADDED_MICROS = 250_000;

  private static Cluster cluster() throws Exception {
    Cluster cluster =
        Cluster.builder()
            .daemons(3)
            .engines(6)
            .adapters(ADAPTERS)
            .engineSize(ADAPTERS, 64)
            .leases(LEASE_MS, 500, 500)
            .daemonJvmFlags("-Xmx96m")
            .start();
    cluster.awaitServing(LIMIT_MS);
    return cluster;
  }

  // If the entry daemon or the new owner blocks other requests with its work for the takeover, the
  // callers of unaffected endpoints wait as long as those of the failed owner's endpoints. Their
  // time to first token is compared with that of the preceding seconds of the same run.
  @Test
  void requestsToOtherEndpointsAreNotDelayed() throws Exception {
    try (Cluster cluster = cluster()) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      probe.awaitBalanced("yard-north", LIMIT_MS);
      Map<String, String> enginesByAdapter = enginesByAdapter(cluster, probe);
      String lostEngine = engineWithAnotherOwner(cluster, probe, enginesByAdapter);
      String victim = probe.owner(lostEngine, "yard-north");
      List<String> elsewhere = adaptersNotOwnedBy(enginesByAdapter, probe, victim);
      List<DaemonNode> others =
          cluster.daemons().stream().filter(daemon -> !daemon.id().equals(victim)).toList();
      try (LoadTool tool = LoadTool.to(others.stream().map(DaemonNode::callerAddress).toList())) {
        tool.start(requests(elsewhere));
        probe.await("before", LIMIT_MS, () -> tool.sent() >= RATE * BEFORE_SECONDS);
        cluster.daemon(victim).process().kill();
        long tookMs =
            probe.await(
                "takeover",
                LIMIT_MS,
                () -> !List.of("", victim).contains(probe.owner(lostEngine, "yard-north")));
        LoadReport report = ConsistencyChecker.of(cluster).apply(tool.await(LIMIT_MS));

        Histogram before = report.firstTokens(OwnershipTakeoverLoadTest::isBefore);
        Histogram during = report.firstTokens(result -> !isBefore(result));
        System.out.printf(
            "first token of other endpoints' requests: before p50 %d us, p95 %d us (%d); during a"
                + " takeover of %d ms p50 %d us, p95 %d us, max %d us (%d)%n",
            before.getValueAtPercentile(50),
            before.getValueAtPercentile(95),
            before.getTotalCount(),
            tookMs,
            during.getValueAtPercentile(50),
            during.getValueAtPercentile(95),
            during.getMaxValue(),
            during.getTotalCount());
        assertThat(report.reasons(5)).isEmpty();
        assertThat(report.count(Verdict.COMPLETE)).isEqualTo(report.sent());
        assertThat(during.getValueAtPercentile(95))
            .isLessThan(before.getValueAtPercentile(95) + MAX_ADDED_MICROS);
      }
    }
  }

  private static boolean isBefore(RequestResult result) {
    return result.request().atMicros() < TimeUnit.SECONDS.toMicros(BEFORE_SECONDS);
  }

  /** Returns an engine that is not owned by the owner of the first adapter's engine. */
  private static String engineWithAnotherOwner(
      Cluster cluster, OwnershipProbe probe, Map<String, String> enginesByAdapter)
      throws Exception {
    String excluded = probe.owner(enginesByAdapter.get(ClusterNames.adapter(0)), "yard-north");
    for (EndpointNode engine : cluster.endpoints()) {
      if (!probe.owner(engine.id(), "yard-north").equals(excluded)) {
        return engine.id();
      }
    }
    throw new AssertionError("all engines are owned by " + excluded);
  }

  /** Returns the adapters on engines that the given daemon does not own. */
  private static List<String> adaptersNotOwnedBy(
      Map<String, String> enginesByAdapter, OwnershipProbe probe, String daemon) throws Exception {
    List<String> adapters = new ArrayList<>();
    for (Map.Entry<String, String> placement : enginesByAdapter.entrySet()) {
      if (!probe.owner(placement.getValue(), "yard-north").equals(daemon)) {
        adapters.add(placement.getKey());
      }
    }
    assertThat(adapters).as("adapters on other owners' endpoints").isNotEmpty();
    return adapters;
  }

  /** Loads every adapter and returns the engine that serves each, by adapter. */
  private static Map<String, String> enginesByAdapter(Cluster cluster, OwnershipProbe probe)
      throws Exception {
    Map<String, String> enginesByAdapter = new HashMap<>();
    for (int i = 0; i < ADAPTERS; i++) {
      String adapter = ClusterNames.adapter(i);
      Map<String, Long> before = accepted(cluster, probe);
      String body = "{\"model\":\"%s\",\"prompt\":\"probe\",\"max_tokens\":1}".formatted(adapter);
      HttpCall call =
          HttpCall.to(cluster.daemons().get(0).callerAddress(), "POST", "/v1/completions");
      HttpAnswer answer = cluster.http().send(call.body(body));
      assertThat(answer.ok()).as(answer.text()).isTrue();
      accepted(cluster, probe)
          .forEach(
              (engine, count) -> {
                if (count > before.get(engine)) {
                  enginesByAdapter.put(adapter, engine);
                }
              });
    }
    return enginesByAdapter;
  }

  private static Map<String, Long> accepted(Cluster cluster, OwnershipProbe probe)
      throws Exception {
    Map<String, Long> counts = new HashMap<>();
    for (EndpointNode engine : cluster.endpoints()) {
      counts.put(engine.id(), probe.auditCounter(engine.id(), "accepted"));
    }
    return counts;
  }

  private static List<PlannedRequest> requests(List<String> adapters) {
    List<PlannedRequest> requests = new ArrayList<>();
    for (int i = 0; i < RATE * (BEFORE_SECONDS + DURING_SECONDS); i++) {
      requests.add(
          new PlannedRequest(
              "other-" + i,
              TimeUnit.SECONDS.toMicros(i) / RATE,
              Optional.of(adapters.get(i % adapters.size())),
              Optional.empty(),
              5,
              "INTERACTIVE",
              true));
    }
    return requests;
  }

  // Two hosts leave within a second, one by a crash and one by a planned stop. Callers of the
  // stopping daemon's endpoints must not be affected: it hands over to the remaining daemon
  // although the table still names the failed one as well, and its callers' streams complete. Only
  // the failed owner's endpoints wait for its lease to expire.
  @Test
  void aStopDuringATakeoverCutsOffNoRequest() throws Exception {
    try (Cluster cluster = cluster()) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      probe.awaitBalanced("yard-north", LIMIT_MS);
      Map<String, String> enginesByAdapter = enginesByAdapter(cluster, probe);
      String failed =
          probe.owner(engineWithAnotherOwner(cluster, probe, enginesByAdapter), "yard-north");
      List<String> elsewhere = adaptersNotOwnedBy(enginesByAdapter, probe, failed);
      List<DaemonNode> others =
          cluster.daemons().stream().filter(daemon -> !daemon.id().equals(failed)).toList();
      DaemonNode stopping = probe.owned(others.get(0)) > 0 ? others.get(0) : others.get(1);
      DaemonNode remaining = stopping == others.get(0) ? others.get(1) : others.get(0);
      try (LoadTool tool = LoadTool.to(List.of(remaining.callerAddress()))) {
        tool.start(requests(elsewhere));
        probe.await("before", LIMIT_MS, () -> tool.sent() >= RATE * BEFORE_SECONDS / 2);
        cluster.daemon(failed).process().kill();
        stopping.process().stop();
        stopping.process().awaitExit(LIMIT_MS);
        probe.await("the remaining daemon owns all", LIMIT_MS, () -> probe.owned(remaining) == 6);
        LoadReport report = ConsistencyChecker.of(cluster).apply(tool.await(LIMIT_MS));

        assertThat(report.reasons(5)).isEmpty();
        assertThat(report.count(Verdict.COMPLETE)).isEqualTo(report.sent());
        assertThat(ConsistencyChecker.of(cluster).violationDetails()).isEmpty();
      }
    }
  }
}
