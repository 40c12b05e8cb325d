package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.load.ConsistencyChecker;
import io.sequoiapass.testbed.load.LoadPlan;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.Verdict;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies what callers see when the owner of an endpoint is killed, or frozen for longer than its
 * lease.
 */
class OwnershipFailureTest {

  private static final long LIMIT_MS = 30_000;
  private static final int LEASE_MS = 3_000;

  private static Cluster cluster(boolean checksFence) throws Exception {
    return Cluster.builder()
        .daemons(3)
        .engines(3)
        .adapters(12)
        .engineSize(3, 64)
        .checksFence(checksFence)
        .leases(LEASE_MS, 500, 500)
        .daemonJvmFlags("-Xmx96m")
        .start();
  }

  // Requests for an endpoint have no owner once it is killed. Another daemon takes over when the
  // lease has expired, with no further delay; requests for adapters on other endpoints are not
  // affected.
  @Test
  void aKilledOwnersEndpointsAreTakenOverWithinItsLeaseAndOneSecond() throws Exception {
    try (Cluster cluster = cluster(true)) {
      cluster.awaitServing(LIMIT_MS);
      OwnershipProbe probe = new OwnershipProbe(cluster);
      String victim = probe.owner("e1", "yard-north");
      cluster.daemon(victim).process().kill();

      long tookMs =
          probe.await(
              "takeover",
              LIMIT_MS,
              () -> !List.of("", victim).contains(probe.owner("e1", "yard-north")));

      System.out.println("takeover after " + tookMs + " ms, lease " + LEASE_MS + " ms");
      assertThat(tookMs).isLessThan(LEASE_MS + 1_000);
    }
  }

  // A caller's stream ends early if its adapter is unloaded while in use. The owner is frozen past
  // its lease, and another daemon takes over and serves; the former owner resumes with orders
  // already decided and a lease that it still assumes valid. Its clock shows the gap and its table
  // is old, so it sends no orders, and an engine that checks fencing tokens would refuse them.
  // Slots are few, so loads evict throughout.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aResumedOwnerEvictsNoAdapterInUse(boolean checksFence) throws Exception {
    try (Cluster cluster = cluster(checksFence)) {
      cluster.awaitServing(LIMIT_MS);
      OwnershipProbe probe = new OwnershipProbe(cluster);
      String frozen = probe.owner("e1", "yard-north");
      List<DaemonNode> others =
          cluster.daemons().stream().filter(daemon -> !daemon.id().equals(frozen)).toList();
      try (LoadTool tool = LoadTool.to(others.stream().map(DaemonNode::callerAddress).toList())) {
        tool.start(new LoadPlan(8, 30, 12, 0.5, 40, 0, 0, 0, 6).requests());
        cluster.daemon(frozen).process().pause();
        probe.await("takeover", LIMIT_MS, () -> !probe.owner("e1", "yard-north").equals(frozen));
        cluster.daemon(frozen).process().resume();

        LoadReport report = ConsistencyChecker.of(cluster).apply(tool.await(LIMIT_MS));
        ConsistencyChecker checker = ConsistencyChecker.of(cluster);
        assertThat(checker.violationDetails()).isEmpty();
        assertThat(checker.violations()).as("evictions while serving").isZero();
        assertThat(checker.evictions()).as("evictions at all").isPositive();
        assertThat(report.count(Verdict.WRONG)).as(report.reasons(5).toString()).isZero();
        // An expired lease is valid again with the next table; a daemon without endpoints needs
        // none.
        DaemonNode resumed = cluster.daemon(frozen);
        probe.await(
            "the resumed owner has a valid lease or owns nothing",
            LIMIT_MS,
            () ->
                probe.ready(resumed)
                    && (probe.statusField(resumed, "lease").equals("VALID")
                        || probe.owned(resumed) == 0));
      }
    }
  }
}
