package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.launch.EndpointNode;
import io.sequoiapass.testbed.load.Judgement;
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

/** What callers of other endpoints see while a takeover is under way. */
class OwnershipTakeoverLoadTest {

  private static final long LIMIT_MS = 30_000;
  private static final int LEASE_MS = 3_000;
  private static final int ADAPTERS = 12;
  private static final int RATE = 40;
  private static final int BEFORE_SECONDS = 5;
  private static final int DURING_SECONDS = 6;

  /** Within one run; a second or more, as a wait for the lease would cost, is far above it. */
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

  // A caller whose adapter lives on an endpoint that nothing happened to waits as long as the
  // callers of the dead owner's endpoints, if the entry or the new owner does its work for the
  // takeover in the way of other requests. Its wait for the first token is compared with that of
  // the seconds before, in the same run.
  @Test
  void requestsToOtherEndpointsAreNotDelayed() throws Exception {
    try (Cluster cluster = cluster()) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      probe.awaitBalanced("yard-north", LIMIT_MS);
      Map<String, String> homes = homes(cluster, probe);
      String lost = engineOfAnother(cluster, probe, homes);
      String victim = probe.owner(lost, "yard-north");
      List<String> elsewhere = adaptersNotOn(homes, probe, victim);
      List<DaemonNode> others =
          cluster.daemons().stream().filter(daemon -> !daemon.id().equals(victim)).toList();
      try (LoadTool tool = LoadTool.to(others.stream().map(DaemonNode::callers).toList())) {
        tool.start(requests(elsewhere));
        probe.await("before", LIMIT_MS, () -> tool.sent() >= RATE * BEFORE_SECONDS);
        cluster.daemon(victim).process().kill();
        long tookMs =
            probe.await(
                "takeover",
                LIMIT_MS,
                () -> !List.of("", victim).contains(probe.owner(lost, "yard-north")));
        LoadReport report = Judgement.of(cluster).apply(tool.await(LIMIT_MS));

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
        assertThat(report.count(Verdict.WHOLE)).isEqualTo(report.sent());
        assertThat(during.getValueAtPercentile(95))
            .isLessThan(before.getValueAtPercentile(95) + MAX_ADDED_MICROS);
      }
    }
  }

  private static boolean isBefore(RequestResult result) {
    return result.request().atMicros() < TimeUnit.SECONDS.toMicros(BEFORE_SECONDS);
  }

  /** Returns an engine of another daemon than the one that owns the first adapter's engine. */
  private static String engineOfAnother(
      Cluster cluster, OwnershipProbe probe, Map<String, String> homes) throws Exception {
    String spared = probe.owner(homes.get(ClusterNames.adapter(0)), "yard-north");
    for (EndpointNode engine : cluster.endpoints()) {
      if (!probe.owner(engine.id(), "yard-north").equals(spared)) {
        return engine.id();
      }
    }
    throw new AssertionError("all engines are owned by " + spared);
  }

  /** Returns the adapters whose engine another daemon owns. */
  private static List<String> adaptersNotOn(
      Map<String, String> homes, OwnershipProbe probe, String daemon) throws Exception {
    List<String> adapters = new ArrayList<>();
    for (Map.Entry<String, String> home : homes.entrySet()) {
      if (!probe.owner(home.getValue(), "yard-north").equals(daemon)) {
        adapters.add(home.getKey());
      }
    }
    assertThat(adapters).as("adapters on other owners' endpoints").isNotEmpty();
    return adapters;
  }

  /** Loads every adapter and returns the engine that each went to. */
  private static Map<String, String> homes(Cluster cluster, OwnershipProbe probe) throws Exception {
    Map<String, String> homes = new HashMap<>();
    for (int i = 0; i < ADAPTERS; i++) {
      String adapter = ClusterNames.adapter(i);
      Map<String, Long> before = accepted(cluster, probe);
      String body = "{\"model\":\"%s\",\"prompt\":\"probe\",\"max_tokens\":1}".formatted(adapter);
      HttpCall call = HttpCall.to(cluster.daemons().get(0).callers(), "POST", "/v1/completions");
      HttpAnswer answer = cluster.http().send(call.body(body));
      assertThat(answer.ok()).as(answer.text()).isTrue();
      accepted(cluster, probe)
          .forEach(
              (engine, count) -> {
                if (count > before.get(engine)) {
                  homes.put(adapter, engine);
                }
              });
    }
    return homes;
  }

  private static Map<String, Long> accepted(Cluster cluster, OwnershipProbe probe)
      throws Exception {
    Map<String, Long> counts = new HashMap<>();
    for (EndpointNode engine : cluster.endpoints()) {
      counts.put(engine.id(), probe.judged(engine.id(), "accepted"));
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

  // Two hosts go within a second, one by a crash and one by plan. Callers of the stopping daemon's
  // endpoints must not notice: it hands over to the one left although the table still names the
  // dead one as well, and its callers' streams end whole. Only the dead owner's endpoints wait for
  // its lease.
  @Test
  void aStopDuringATakeoverCutsOffNoRequest() throws Exception {
    try (Cluster cluster = cluster()) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      probe.awaitBalanced("yard-north", LIMIT_MS);
      Map<String, String> homes = homes(cluster, probe);
      String dead = probe.owner(engineOfAnother(cluster, probe, homes), "yard-north");
      List<String> elsewhere = adaptersNotOn(homes, probe, dead);
      List<DaemonNode> others =
          cluster.daemons().stream().filter(daemon -> !daemon.id().equals(dead)).toList();
      DaemonNode stopping = probe.owned(others.get(0)) > 0 ? others.get(0) : others.get(1);
      DaemonNode left = stopping == others.get(0) ? others.get(1) : others.get(0);
      try (LoadTool tool = LoadTool.to(List.of(left.callers()))) {
        tool.start(requests(elsewhere));
        probe.await("before", LIMIT_MS, () -> tool.sent() >= RATE * BEFORE_SECONDS / 2);
        cluster.daemon(dead).process().kill();
        stopping.process().stop();
        stopping.process().awaitExit(LIMIT_MS);
        probe.await("the one left owns all", LIMIT_MS, () -> probe.owned(left) == 6);
        LoadReport report = Judgement.of(cluster).apply(tool.await(LIMIT_MS));

        assertThat(report.reasons(5)).isEmpty();
        assertThat(report.count(Verdict.WHOLE)).isEqualTo(report.sent());
        assertThat(Judgement.of(cluster).violationDetails()).isEmpty();
      }
    }
  }
}
