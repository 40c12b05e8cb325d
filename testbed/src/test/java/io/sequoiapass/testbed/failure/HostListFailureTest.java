package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.launch.EndpointNode;
import io.sequoiapass.testbed.load.ConsistencyChecker;
import io.sequoiapass.testbed.load.LoadPlan;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.Verdict;
import io.sequoiapass.testbed.proxy.ProxyFault;
import io.sequoiapass.testbed.wire.ObjectValues;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Verifies what callers see while the platform's host list reports hosts as leaving. */
class HostListFailureTest {

  private static final long LIMIT_MS = 20_000;

  /** Time from the return of a host to the list until its endpoint accepts work. */
  private static final long REACTIVATION_MS = 8_000;

  /** Two waits of {@link #LIMIT_MS}, the period without new work and the time to reactivate. */
  private static final int LOAD_S = 56;

  /** The longest load, including its last answers. */
  private static final long LOAD_LIMIT_MS = 1_000 * LOAD_S + LIMIT_MS;

  /** Time from the change of the list until no new request starts. */
  private static final long REACTION_LIMIT_MS = 4_000;

  private static final long OBSERVATION_MS = 2_000;

  private static Cluster cluster(int daemons) throws Exception {
    Cluster cluster =
        Cluster.builder()
            .daemons(daemons)
            .engines(2)
            .adapters(4)
            .engineSize(8, 64)
            .withProxies()
            .daemonJvmFlags("-Xmx96m")
            .platformFlags("--hosts-lag-ms", "300")
            .start();
    cluster.awaitServing(LIMIT_MS);
    return cluster;
  }

  // The platform drains a host for repairs and removes it some seconds later. Only its host list
  // shows this; the configuration still has the endpoint as active. A request that starts after the
  // removal is cut off with the host, so no request may start later than 4 s after the list
  // changes, while streams in flight complete. Listed as live again, the endpoint accepts requests
  // again.
  @Test
  void anEndpointOnAHostThatLeavesGetsNoNewWorkAndComesBack() throws Exception {
    try (Cluster cluster = cluster(3)) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      try (LoadTool tool = tool(cluster)) {
        // The load has to outlast both waits below, or the second one waits for requests that are
        // never sent.
        tool.start(new LoadPlan(LOAD_S, 40, 4, 0, 60, 0, 0, 0, 8).requests());
        probe.await("e1 works", LIMIT_MS, () -> probe.auditCounter("e1", "accepted") > 0);
        putHosts(cluster, "LEAVING");
        long after = assertNoNewWorkAfter(probe, REACTION_LIMIT_MS);
        assertThat(probe.auditCounter("e2", "accepted")).as("e2 still accepts").isPositive();
        putHosts(cluster, "LIVE");
        long live = System.nanoTime();
        probe.await("time to reactivate", LIMIT_MS, () -> elapsedMs(live) >= REACTIVATION_MS);
        // Batches fill up one by one, so e1 may stay idle as long as e2 has capacity.
        putHosts(cluster, "LIVE", "LEAVING");
        probe.await("e1 works again", LIMIT_MS, () -> probe.auditCounter("e1", "accepted") > after);
        assertAllComplete(cluster, tool);
      }
    }
  }

  // As above, but the list flaps between readings, and the endpoint's owner is cut off from the
  // platform while its peers are not. The owner receives the list from its peers, and a list that
  // intermittently shows the host as live does not reactivate the endpoint.
  @Test
  void aFlappingListAndAnOwnerCutOffFromThePlatformAllowNoNewWork() throws Exception {
    try (Cluster cluster = cluster(3)) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      try (LoadTool tool = tool(cluster)) {
        tool.start(new LoadPlan(11, 40, 4, 0, 20, 0, 0, 0, 8).requests());
        probe.await("e1 works", LIMIT_MS, () -> probe.auditCounter("e1", "accepted") > 0);
        String owner = probe.owner("e1", "yard-north");
        cluster.proxies().toPlatform(owner).set(ProxyFault.cut());
        long start = System.nanoTime();
        putHosts(cluster, "LEAVING");
        probe.await("the reaction limit", LIMIT_MS, () -> elapsedMs(start) >= REACTION_LIMIT_MS);
        long after = probe.auditCounter("e1", "accepted");
        for (int i = 0; i < 4; i++) {
          putHosts(cluster, i % 2 == 0 ? "LIVE" : "LEAVING");
          long flip = System.nanoTime();
          probe.await("a reading", LIMIT_MS, () -> elapsedMs(flip) >= 1_000);
        }
        assertThat(probe.auditCounter("e1", "accepted"))
            .as("accepted after the reaction limit")
            .isEqualTo(after);
        assertAllComplete(cluster, tool);
      }
    }
  }

  // The configuration has an endpoint as leaving while the host list has its host as live, which is
  // the case whenever only the endpoint is taken out of service. The list must not reactivate it.
  @Test
  void theHostListReactivatesNoEndpointThatLeavesByConfiguration() throws Exception {
    try (Cluster cluster = cluster(2)) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      JsonObject endpoint = cluster.objects().value("endpoint", "e1");
      endpoint.addProperty("state", "LEAVING");
      cluster.objects().put("endpoint", "e1", endpoint);
      putHosts(cluster, "LEAVING");
      try (LoadTool tool = tool(cluster)) {
        tool.start(new LoadPlan(9, 20, 4, 0, 10, 0, 0, 0, 8).requests());
        long start = System.nanoTime();
        probe.await("drained", LIMIT_MS, () -> elapsedMs(start) >= 2_000);
        long after = probe.auditCounter("e1", "accepted");
        putHosts(cluster, "LIVE");
        probe.await("time to reactivate", LIMIT_MS, () -> elapsedMs(start) >= 8_000);
        assertThat(probe.auditCounter("e1", "accepted")).isEqualTo(after);
        assertAllComplete(cluster, tool);
      }
    }
  }

  // 400 daemons that each read the list once a second would take a fifth of the platform's reads,
  // so only the two watchers of a data centre read it.
  @Test
  void onlyTheWatchersReadTheHostList() throws Exception {
    try (Cluster cluster = cluster(4)) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      long before = hostCalls(cluster);
      long start = System.nanoTime();
      probe.await("some readings", LIMIT_MS, () -> elapsedMs(start) >= 5_000);
      long calls = hostCalls(cluster) - before;
      assertThat(calls).isBetween(4L, 2 * elapsedMs(start) / 1_000 + 2);
    }
  }

  private static long hostCalls(Cluster cluster) throws Exception {
    HttpCall call = HttpCall.to(cluster.platformAddress(), "GET", "/judge");
    JsonObject calls = cluster.http().read(call, JsonObject.class).getAsJsonObject("calls");
    return calls.has("HOSTS") ? calls.get("HOSTS").getAsLong() : 0;
  }

  private static LoadTool tool(Cluster cluster) {
    return LoadTool.to(cluster.daemons().stream().map(DaemonNode::callerAddress).toList());
  }

  private static long assertNoNewWorkAfter(OwnershipProbe probe, long limitMs) throws Exception {
    long start = System.nanoTime();
    probe.await("the reaction limit", LIMIT_MS, () -> elapsedMs(start) >= limitMs);
    long after = probe.auditCounter("e1", "accepted");
    probe.await("observation period", LIMIT_MS, () -> elapsedMs(start) >= limitMs + OBSERVATION_MS);
    assertThat(probe.auditCounter("e1", "accepted"))
        .as("accepted after the reaction limit")
        .isEqualTo(after);
    return after;
  }

  private static void assertAllComplete(Cluster cluster, LoadTool tool) throws Exception {
    LoadReport report = ConsistencyChecker.of(cluster).apply(tool.await(LOAD_LIMIT_MS));
    assertThat(report.reasons(5)).isEmpty();
    assertThat(report.count(Verdict.COMPLETE)).isEqualTo(report.sent());
  }

  private static long elapsedMs(long start) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
  }

  /**
   * Writes the host list with the given state for the host of e1 and {@code LIVE} for all others.
   */
  private static void putHosts(Cluster cluster, String stateOfFirst) throws Exception {
    putHosts(cluster, stateOfFirst, "LIVE");
  }

  /** Writes the host list with the given states for the hosts of e1 and of all other endpoints. */
  private static void putHosts(Cluster cluster, String stateOfFirst, String stateOfOthers)
      throws Exception {
    List<ObjectValues.Host> hosts = new ArrayList<>();
    for (DaemonNode daemon : cluster.daemons()) {
      hosts.add(new ObjectValues.Host(daemon.host(), daemon.dataCentre(), "LIVE", List.of()));
    }
    for (EndpointNode node : cluster.endpoints()) {
      String state = node.id().equals("e1") ? stateOfFirst : stateOfOthers;
      hosts.add(new ObjectValues.Host(node.host(), node.dataCentre(), state, List.of(node.id())));
    }
    cluster.objects().putHosts(new ObjectValues.Hosts(hosts));
  }
}
