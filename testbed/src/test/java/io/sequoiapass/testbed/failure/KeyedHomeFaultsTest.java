package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.request.Ranking;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterProxies;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.proxy.Direction;
import io.sequoiapass.testbed.proxy.FaultProxy;
import io.sequoiapass.testbed.proxy.ProxyFault;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Verifies that no key runs twice, and that no attempt reported as NOT RUN runs, while the primary
 * replica of the keys fails.
 */
class KeyedHomeFaultsTest {

  private static final long LIMIT_MS = 30_000;
  private static final String PRIMARY = "d3";
  private static final List<String> OTHERS = List.of("d1", "d2");
  private Cluster cluster;
  private KeyedCalls calls;

  // A cluster for each test: if two members leave within the settling time, the keys that both held
  // are excluded for the retention period, and each test removes one member.
  @BeforeEach
  void start() throws Exception {
    cluster =
        Cluster.builder()
            .daemons(3)
            .engines(0)
            .services(2)
            .adapters(0)
            .withProxies()
            .leases(3_000, 500, 500)
            .start();
    cluster.awaitServing(LIMIT_MS);
    calls = new KeyedCalls(cluster);
    awaitAllKeysServed("start");
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  /** Waits until each daemon runs slips for keys of each primary. */
  private void awaitAllKeysServed(String name) throws Exception {
    for (String primary : List.of("d1", "d2", "d3")) {
      for (String daemon : List.of("d1", "d2", "d3")) {
        assertRunsOnce(daemon, keyWithPrimary(primary, name + "-" + daemon));
      }
    }
  }

  private void assertRunsOnce(String daemon, String key) throws Exception {
    // A failed primary may own the endpoints as well: until its lease expires, the slip is refused
    // as NOT RUN because it has no endpoint, not only because the record of its key is unavailable.
    HttpResponse<String> answer = calls.sendSlipUntilRun(daemon, key, "pay 1", LIMIT_MS);
    assertThat(answer.statusCode())
        .as(key + " through " + daemon + ": " + answer.body())
        .isEqualTo(200);
    assertThat(calls.runs(key)).as(key).isEqualTo(1);
  }

  private static String keyWithPrimary(String primary, String name) {
    List<DaemonId> daemons = Stream.of("d1", "d2", "d3").map(DaemonId::new).toList();
    return IntStream.range(0, 1_000)
        .mapToObj(i -> name + "-" + primary + "-" + i)
        .filter(key -> Ranking.rendezvous().rank(key, daemons).get(0).value().equals(primary))
        .findFirst()
        .orElseThrow();
  }

  private void setLinkFaults(ProxyFault fromPrimary, ProxyFault toPrimary) {
    ClusterProxies proxies = cluster.proxies();
    proxies.toPlatform(PRIMARY).set(fromPrimary);
    for (String other : OTHERS) {
      FaultProxy out = proxies.toPeer(PRIMARY, other);
      out.set(fromPrimary);
      proxies.toPeer(other, PRIMARY).set(toPrimary);
    }
  }

  /**
   * Fails the primary, checks that the other daemons serve its keys, and then repairs the fault and
   * checks that every daemon serves all keys.
   */
  private void assertTakenOver(String name, Step fault, Step repair) throws Exception {
    try (KeyedLoad load = new KeyedLoad(cluster, name)) {
      fault.run();
      for (String other : OTHERS) {
        assertRunsOnce(other, keyWithPrimary(PRIMARY, name + "-taken-over-" + other));
      }
      repair.run();
      awaitAllKeysServed(name + "-mended");
      long answered = load.answered();
      assertThat(load.stopAndCheck()).isEmpty();
      assertThat(answered).as("answered slips").isPositive();
    }
  }

  @FunctionalInterface
  private interface Step {
    void run() throws Exception;
  }

  // The primary reaches its callers and the services, but neither its peers nor the platform. It
  // grants starts until its lease expires, and the secondary grants them only after that. If both
  // did so at the same time, a slip sent through both sides would be paid twice.
  @Test
  void anIsolatedPrimaryAndItsSuccessorRunNoKeyTwice() throws Exception {
    assertTakenOver(
        "cut",
        () -> setLinkFaults(ProxyFault.cut(), ProxyFault.cut()),
        () -> setLinkFaults(ProxyFault.none(), ProxyFault.none()));
  }

  // Messages from the primary arrive, but none reaches it: the platform renews a lease without the
  // primary receiving the confirmation, peers receive heartbeats, and copies reach the secondary
  // without an acknowledgement.
  @Test
  void aPrimaryThatReceivesNothingRunsNoKeyTwice() throws Exception {
    ProxyFault cutFromTarget = ProxyFault.oneWayCut(Direction.FROM_TARGET);
    ProxyFault cutToTarget = ProxyFault.oneWayCut(Direction.TO_TARGET);
    try (KeyedLoad load = new KeyedLoad(cluster, "deaf")) {
      setLinkFaults(cutFromTarget, cutToTarget);
      // The platform renews the lease as long as the primary's writes arrive, so no other daemon
      // may take over. The load checks the outcomes for longer than a lease.
      for (String other : OTHERS) {
        calls.sendSlipUntilLedgerAvailable(
            other, keyWithPrimary(PRIMARY, "deaf-" + other), "pay 1", 5_000);
      }
      setLinkFaults(ProxyFault.none(), ProxyFault.none());
      awaitAllKeysServed("deaf-mended");
      assertThat(load.stopAndCheck()).isEmpty();
    }
  }

  // The primary's process is paused for longer than its lease, and another daemon takes over its
  // keys. It resumes with unanswered messages and with records that its successor has changed
  // since.
  @Test
  void aPrimaryFrozenPastItsLeaseRunsNoKeyTwice() throws Exception {
    DaemonNode primary = cluster.daemon(PRIMARY);
    assertTakenOver("frozen", () -> primary.process().pause(), () -> primary.process().resume());
  }

  // The primary is killed, and its next incarnation starts under the same name, within the lease of
  // the previous one and with an empty ledger. It has to receive the records of the others before
  // it grants a start.
  @Test
  void aPrimaryReplacedUnderItsNameRunsNoKeyTwice() throws Exception {
    assertTakenOver(
        "replaced",
        () -> {
          cluster.restart(cluster.daemon(PRIMARY));
          cluster.awaitServing(LIMIT_MS);
        },
        () -> {});
  }

  // All daemons are replaced in turn by planned stops, while keys are sent again through the
  // remaining ones. Each stop moves primary and secondary replicas; no key may be lost between two
  // of them.
  @Test
  void aRollingRestartRunsNoKeyTwice() throws Exception {
    try (KeyedLoad load = new KeyedLoad(cluster, "rolling")) {
      for (DaemonNode daemon : cluster.daemons()) {
        daemon.process().stop();
        daemon.process().awaitExit(LIMIT_MS);
        cluster.restart(daemon);
        cluster.awaitServing(LIMIT_MS);
      }
      assertThat(load.stopAndCheck()).isEmpty();
    }
  }
}
