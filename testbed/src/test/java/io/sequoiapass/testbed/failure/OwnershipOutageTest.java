package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.load.ConsistencyChecker;
import io.sequoiapass.testbed.load.LoadPlan;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.PlannedRequest;
import io.sequoiapass.testbed.load.Verdict;
import io.sequoiapass.testbed.proxy.ProxyFault;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Verifies what callers see when daemons cannot reach the platform: one of them, or all for a long
 * time.
 *
 * <p>For a longer run: {@code -Dsequoiapass.outage.seconds=180}.
 */
class OwnershipOutageTest {

  private static final long LIMIT_MS = 30_000;
  private static final int LEASE_MS = 3_000;
  private static final int OUTAGE_SECONDS = Integer.getInteger("sequoiapass.outage.seconds", 12);
  private static final int ADAPTERS = 12;

  private static Cluster cluster(boolean checksFence) throws Exception {
    Cluster cluster =
        Cluster.builder()
            .daemons(3)
            .engines(3)
            .adapters(ADAPTERS)
            .engineSize(3, 64)
            .checksFence(checksFence)
            .withProxies()
            .leases(LEASE_MS, 500, 500)
            .daemonJvmFlags("-Xmx96m")
            .start();
    cluster.awaitServing(LIMIT_MS);
    return cluster;
  }

  // A caller's stream ends early if an owner that lost the platform keeps evicting after another
  // daemon took its endpoint over; a caller waits if an owner releases its endpoints although only
  // its own link is cut. The owner's peers receive its heartbeats and relay its renewals, so it
  // keeps its lease and its endpoints for many lease durations, whether or not its endpoints check
  // fencing tokens. Slots are few, so loads evict throughout.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void anOwnerThatOnlyLostThePlatformKeepsItsEndpoints(boolean checksFence) throws Exception {
    try (Cluster cluster = cluster(checksFence)) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      DaemonNode cut = cluster.daemon(probe.owner("e1", "yard-north"));
      try (LoadTool tool =
          LoadTool.to(cluster.daemons().stream().map(DaemonNode::callerAddress).toList())) {
        int seconds = 4 * LEASE_MS / 1_000;
        tool.start(new LoadPlan(seconds, 20, ADAPTERS, 0.5, 20, 0, 0, 0, 11).requests());
        cluster.proxies().toPlatform(cut.id()).set(ProxyFault.cut());
        LoadReport report = ConsistencyChecker.of(cluster).apply(tool.await(2 * LIMIT_MS));

        assertThat(probe.owner("e1", "yard-north")).isEqualTo(cut.id());
        assertThat(probe.statusField(cut, "lease")).isEqualTo("VALID");
        ConsistencyChecker checker = ConsistencyChecker.of(cluster);
        System.out.println("cut off: " + counts(report) + " evictions=" + checker.evictions());
        assertThat(checker.violationDetails()).isEmpty();
        assertThat(checker.evictions()).as("evictions at all").isPositive();
        assertThat(report.reasons(5)).isEmpty();
        assertThat(report.count(Verdict.COMPLETE)).isEqualTo(report.sent());
      }
    }
  }

  // The platform is out for minutes, longer than any lease. A caller must neither get a wrong
  // answer nor lose a stream to an eviction, while the popular adapters change and daemons are
  // replaced. Owners keep serving, since all daemons report that the platform is out for them too;
  // the endpoints of a replaced daemon are served without orders. After the outage every endpoint
  // has an owner again.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void minutesWithoutThePlatformHarmNoAnswer(boolean checksFence) throws Exception {
    try (Cluster cluster = cluster(checksFence)) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      // No load goes through the replaced daemon, so the check covers how the others handle its
      // failure.
      DaemonNode replaced = cluster.daemon("d3");
      List<DaemonNode> entries = List.of(cluster.daemon("d1"), cluster.daemon("d2"));
      try (LoadTool tool = LoadTool.to(entries.stream().map(DaemonNode::callerAddress).toList())) {
        tool.start(planWithShiftingPopularity());
        cluster.setFaults(cluster.platformAddress(), "{\"outage\":true}");
        probe.await("half", LIMIT_MS + 500L * OUTAGE_SECONDS, () -> tool.sent() > sentBy(0.4));
        replaced.process().kill();
        cluster.restart(replaced);
        LoadReport clientReport = tool.await(2 * LIMIT_MS + 1_000L * OUTAGE_SECONDS);
        cluster.setFaults(cluster.platformAddress(), "{}");

        ConsistencyChecker checker = ConsistencyChecker.of(cluster);
        LoadReport report = checker.apply(clientReport);
        System.out.println(
            "outage of "
                + OUTAGE_SECONDS
                + " s: "
                + counts(report)
                + " loads="
                + checker.loads()
                + " "
                + report.reasons(4));
        assertThat(checker.violationDetails()).isEmpty();
        assertThat(report.count(Verdict.WRONG)).as(report.reasons(5).toString()).isZero();
        assertThat(report.unanswered()).isZero();
        assertThat(checker.evictions()).as("adapters shift").isPositive();
        assertThat(report.count(Verdict.COMPLETE)).isGreaterThan(report.sent() * 3 / 4);
        probe.await("owners again", LIMIT_MS, () -> allOwnedAndValid(cluster, probe));
      }
    }
  }

  /** Returns a plan in which the most popular adapter changes with each third of the outage. */
  private static List<PlannedRequest> planWithShiftingPopularity() {
    List<PlannedRequest> requests = new ArrayList<>();
    int part = OUTAGE_SECONDS / 3;
    for (int i = 0; i < 3; i++) {
      int third = i;
      new LoadPlan(part, 20, ADAPTERS, 1, 15, 0, 0, 0, 20 + i)
          .requests()
          .forEach(request -> requests.add(shifted(request, third, part)));
    }
    requests.sort(Comparator.comparingLong(PlannedRequest::atMicros));
    return requests;
  }

  private static PlannedRequest shifted(PlannedRequest request, int third, int partSeconds) {
    return new PlannedRequest(
        request.id(),
        request.atMicros() + 1_000_000L * third * partSeconds,
        request.adapter().map(name -> rotated(name, 4 * third)),
        request.version(),
        request.maxTokens(),
        request.priority(),
        request.repeatable());
  }

  private static String rotated(String adapter, int by) {
    for (int i = 0; i < ADAPTERS; i++) {
      if (ClusterNames.adapter(i).equals(adapter)) {
        return ClusterNames.adapter((i + by) % ADAPTERS);
      }
    }
    throw new IllegalArgumentException("no such adapter: " + adapter);
  }

  private static long sentBy(double share) {
    return (long) (20 * OUTAGE_SECONDS * share);
  }

  private static boolean allOwnedAndValid(Cluster cluster, OwnershipProbe probe) throws Exception {
    int owned = 0;
    for (DaemonNode daemon : cluster.daemons()) {
      owned += probe.owned(daemon);
      if (probe.owned(daemon) > 0 && !probe.statusField(daemon, "lease").equals("VALID")) {
        return false;
      }
    }
    return owned == 3;
  }

  // Two daemons are stopped while no ownership change is possible. A caller must not lose a stream:
  // they complete their requests and exit, and the remaining daemon serves their endpoints as
  // backup owner, without orders, until the platform recovers and makes it their owner.
  @Test
  void twoStopsWithoutThePlatformCutOffNoRequest() throws Exception {
    try (Cluster cluster = cluster(true)) {
      OwnershipProbe probe = new OwnershipProbe(cluster);
      DaemonNode remaining = cluster.daemon("d3");
      try (LoadTool tool = LoadTool.to(List.of(remaining.callerAddress()))) {
        tool.start(new LoadPlan(10, 15, 3, 0, 30, 0, 0, 0, 31).requests());
        probe.await("load", LIMIT_MS, () -> tool.sent() > 40);
        cluster.setFaults(cluster.platformAddress(), "{\"outage\":true}");
        probe.await("load", LIMIT_MS, () -> tool.sent() > 70);
        cluster.daemon("d1").process().stop();
        cluster.daemon("d2").process().stop();
        cluster.daemon("d1").process().awaitExit(LIMIT_MS);
        cluster.daemon("d2").process().awaitExit(LIMIT_MS);
        LoadReport clientReport = tool.await(LIMIT_MS);
        cluster.setFaults(cluster.platformAddress(), "{}");
        probe.await("the remaining daemon owns all", LIMIT_MS, () -> probe.owned(remaining) == 3);

        ConsistencyChecker checker = ConsistencyChecker.of(cluster);
        LoadReport report = checker.apply(clientReport);
        System.out.println("two stops in an outage: " + counts(report) + " " + report.reasons(4));
        assertThat(checker.violationDetails()).isEmpty();
        assertThat(report.count(Verdict.WRONG)).isZero();
        assertThat(report.count(Verdict.UNKNOWN)).as(report.reasons(5).toString()).isZero();
        assertThat(report.unanswered()).isZero();
      }
    }
  }

  private static String counts(LoadReport report) {
    return "sent=%d whole=%d not_run=%d unknown=%d"
        .formatted(
            report.sent(),
            report.count(Verdict.COMPLETE),
            report.count(Verdict.NOT_RUN),
            report.count(Verdict.UNKNOWN));
  }
}
