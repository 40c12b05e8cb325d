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
 * What callers of keyed slips are told while the home of their keys fails, and what then ran: never
 * a key twice, and nothing of an attempt that was told NOT RUN.
 */
class KeyedHomeFaultsTest {

  private static final long LIMIT_MS = 30_000;
  private static final String HOME = "d3";
  private static final List<String> OTHERS = List.of("d1", "d2");
  private Cluster cluster;
  private KeyedCalls calls;

  // A cluster for each test: two members that leave within the settling time would bar the keys
  // that both held for the retention, and each test takes one away.
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
    awaitKeys("start");
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  /** Waits until each daemon runs slips of keys of each home. */
  private void awaitKeys(String name) throws Exception {
    for (String home : List.of("d1", "d2", "d3")) {
      for (String daemon : List.of("d1", "d2", "d3")) {
        runsOnce(daemon, keyOf(home, name + "-" + daemon));
      }
    }
  }

  private void runsOnce(String daemon, String key) throws Exception {
    // A home that fails may own the endpoints as well: until its lease has run out the slip is
    // refused for want of an endpoint, as NOT RUN, not for want of its key's record only.
    HttpResponse<String> answer = calls.slipOnceTaken(daemon, key, "pay 1", LIMIT_MS);
    assertThat(answer.statusCode())
        .as(key + " through " + daemon + ": " + answer.body())
        .isEqualTo(200);
    assertThat(calls.runs(key)).as(key).isEqualTo(1);
  }

  private static String keyOf(String home, String name) {
    List<DaemonId> daemons = Stream.of("d1", "d2", "d3").map(DaemonId::new).toList();
    return IntStream.range(0, 1_000)
        .mapToObj(i -> name + "-" + home + "-" + i)
        .filter(key -> Ranking.rendezvous().rank(key, daemons).get(0).value().equals(home))
        .findFirst()
        .orElseThrow();
  }

  private void links(ProxyFault fromHome, ProxyFault toHome) {
    ClusterProxies proxies = cluster.proxies();
    proxies.toPlatform(HOME).set(fromHome);
    for (String other : OTHERS) {
      FaultProxy out = proxies.toPeer(HOME, other);
      out.set(fromHome);
      proxies.toPeer(other, HOME).set(toHome);
    }
  }

  /** The key's home fails, and the others go on with its keys; then all is as before. */
  private void takenOver(String name, Step fault, Step mend) throws Exception {
    try (KeyedStorm storm = new KeyedStorm(cluster, name)) {
      fault.run();
      for (String other : OTHERS) {
        runsOnce(other, keyOf(HOME, name + "-taken-over-" + other));
      }
      mend.run();
      awaitKeys(name + "-mended");
      long answered = storm.answered();
      assertThat(storm.endAndJudge()).isEmpty();
      assertThat(answered).as("answered slips").isPositive();
    }
  }

  @FunctionalInterface
  private interface Step {
    void run() throws Exception;
  }

  // The home reaches its callers and the services, but neither its peers nor the platform. It goes
  // on deciding until its lease ends; the second decides after that. Were the two at it together, a
  // slip sent through both sides would be paid twice.
  @Test
  void aHomeThatIsCutOffAndItsSuccessorRunNoKeyTwice() throws Exception {
    takenOver(
        "cut",
        () -> links(ProxyFault.cut(), ProxyFault.cut()),
        () -> links(ProxyFault.none(), ProxyFault.none()));
  }

  // What the home sends arrives, and nothing comes back: the platform renews a lease of which the
  // home never hears, peers hear heartbeats, and copies reach the second unconfirmed.
  @Test
  void aHomeThatHearsNothingRunsNoKeyTwice() throws Exception {
    ProxyFault hearsNothing = ProxyFault.oneWayCut(Direction.FROM_TARGET);
    ProxyFault unheard = ProxyFault.oneWayCut(Direction.TO_TARGET);
    try (KeyedStorm storm = new KeyedStorm(cluster, "deaf")) {
      links(hearsNothing, unheard);
      // The platform still renews its lease as long as its writes arrive, so nobody may take over.
      // What it does is the storm's to judge, for longer than a lease.
      for (String other : OTHERS) {
        calls.slipOnceAsked(other, keyOf(HOME, "deaf-" + other), "pay 1", 5_000);
      }
      links(ProxyFault.none(), ProxyFault.none());
      awaitKeys("deaf-mended");
      assertThat(storm.endAndJudge()).isEmpty();
    }
  }

  // The home's process stands still for longer than its lease; another has its keys by then. It
  // wakes with messages to answer and with records that the successor has long changed.
  @Test
  void aHomeThatIsFrozenPastItsLeaseRunsNoKeyTwice() throws Exception {
    DaemonNode home = cluster.daemon(HOME);
    takenOver("frozen", () -> home.process().pause(), () -> home.process().resume());
  }

  // The home is killed, and its next process has the same name within the lease of the one before,
  // with an empty ledger. It has to hear what the others keep before it decides.
  @Test
  void aHomeReplacedUnderItsNameRunsNoKeyTwice() throws Exception {
    takenOver(
        "replaced",
        () -> {
          cluster.restart(cluster.daemon(HOME));
          cluster.awaitServing(LIMIT_MS);
        },
        () -> {});
  }

  // All daemons are replaced in turn by planned stops, while keys are sent again through whichever
  // is left. Each stop moves homes and seconds; no key may fall between two of them.
  @Test
  void aRollingRestartRunsNoKeyTwice() throws Exception {
    try (KeyedStorm storm = new KeyedStorm(cluster, "rolling")) {
      for (DaemonNode daemon : cluster.daemons()) {
        daemon.process().stop();
        daemon.process().awaitExit(LIMIT_MS);
        cluster.restart(daemon);
        cluster.awaitServing(LIMIT_MS);
      }
      assertThat(storm.endAndJudge()).isEmpty();
    }
  }
}
