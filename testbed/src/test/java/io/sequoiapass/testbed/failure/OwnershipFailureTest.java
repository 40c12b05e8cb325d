package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.load.Judgement;
import io.sequoiapass.testbed.load.LoadPlan;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.Verdict;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What callers see when the owner of an endpoint is killed, or frozen for longer than its lease.
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

  // Requests for one endpoint find no owner once that is killed. Its lease has to run out before
  // another takes over, and no longer; requests whose adapters live elsewhere notice nothing.
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

  // A caller's stream ends early when its adapter is unloaded under it. The owner is frozen past
  // its lease, another takes over and serves; the former wakes with orders that it had decided on
  // and still believes in its lease. Its clock shows the gap and its table is old, so it orders
  // nothing, and an engine that checks fences would refuse. Slots are few, so loads evict all
  // along.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void anOwnerThatWakesEvictsNothingThatServes(boolean checksFence) throws Exception {
    try (Cluster cluster = cluster(checksFence)) {
      cluster.awaitServing(LIMIT_MS);
      OwnershipProbe probe = new OwnershipProbe(cluster);
      String frozen = probe.owner("e1", "yard-north");
      List<DaemonNode> others =
          cluster.daemons().stream().filter(daemon -> !daemon.id().equals(frozen)).toList();
      try (LoadTool tool = LoadTool.to(others.stream().map(DaemonNode::callers).toList())) {
        tool.start(new LoadPlan(8, 30, 12, 0.5, 40, 0, 0, 0, 6).requests());
        cluster.daemon(frozen).process().pause();
        probe.await("takeover", LIMIT_MS, () -> !probe.owner("e1", "yard-north").equals(frozen));
        cluster.daemon(frozen).process().resume();

        LoadReport report = Judgement.of(cluster).apply(tool.await(LIMIT_MS));
        Judgement judgement = Judgement.of(cluster);
        assertThat(judgement.violationDetails()).isEmpty();
        assertThat(judgement.violations()).as("evictions while serving").isZero();
        assertThat(judgement.evictions()).as("evictions at all").isPositive();
        assertThat(report.count(Verdict.WRONG)).as(report.reasons(5).toString()).isZero();
        // A lease that lapsed is whole again with the next table; without endpoints it needs none.
        DaemonNode woken = cluster.daemon(frozen);
        probe.await(
            "the woken owner is whole again or owns nothing",
            LIMIT_MS,
            () ->
                probe.ready(woken)
                    && (probe.statusField(woken, "lease").equals("VALID")
                        || probe.owned(woken) == 0));
      }
    }
  }
}
