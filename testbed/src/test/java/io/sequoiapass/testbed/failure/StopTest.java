package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.load.ConsistencyChecker;
import io.sequoiapass.testbed.load.LoadPlan;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.PlannedRequest;
import io.sequoiapass.testbed.load.Verdict;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Verifies that planned stops cut off no request. When hosts are replaced, callers see requests
 * refused or streams end early if a stopping daemon closes with requests in flight, or if its
 * endpoints have no owner until its lease expires.
 *
 * <p>Daemons are stopped under load, two at once and then the third, by SIGTERM and by order, and
 * each is replaced by a new process. A planned stop first hands everything over, so every answer is
 * complete.
 */
class StopTest {

  private static final long LIMIT_MS = 30_000;
  private static final int RATE = Integer.getInteger("sequoiapass.stop.rate", 60);
  private static final int SECONDS = Integer.getInteger("sequoiapass.stop.seconds", 14);
  private static final int LONG_TOKENS = Integer.getInteger("sequoiapass.stop.tokens", 500);
  private static final int ADAPTERS = 8;

  @Test
  void aRollingRestartCutsOffNoRequest() throws Exception {
    try (Cluster cluster =
        Cluster.builder()
            .daemons(3)
            .engines(4)
            .adapters(ADAPTERS)
            .engineSize(2 * ADAPTERS, 256)
            .daemonJvmFlags("-Xmx96m")
            .start()) {
      cluster.awaitServing(LIMIT_MS);
      OwnershipProbe probe = new OwnershipProbe(cluster);
      ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
      try (Balancer balancer = new Balancer(cluster, probe, scheduler);
          LoadTool tool = LoadTool.through(balancer::pick)) {
        tool.start(requests());
        DaemonNode first = cluster.daemon("d1");
        DaemonNode second = cluster.daemon("d2");
        first.process().stop();
        cluster.http().send(HttpCall.to(second.operatorAddress(), "POST", "/drain"));
        first.process().awaitExit(LIMIT_MS);
        second.process().awaitExit(LIMIT_MS);
        assertThat(probe.owned(cluster.daemon("d3")))
            .as("owned by the remaining daemon")
            .isEqualTo(4);
        assertThat(leaseExists(cluster, "d1")).as("lease of a stopped daemon").isFalse();
        cluster.restart(first);
        cluster.restart(second);
        probe.await("replaced", LIMIT_MS, () -> probe.ready(first) && probe.ready(second));
        DaemonNode third = cluster.daemon("d3");
        third.process().stop();
        third.process().awaitExit(LIMIT_MS);
        cluster.restart(third);

        LoadReport report = ConsistencyChecker.of(cluster).apply(tool.await(2 * LIMIT_MS));
        assertThat(report.reasons(5)).isEmpty();
        assertThat(report.count(Verdict.COMPLETE)).isEqualTo(report.sent());
        assertThat(report.unanswered()).isZero();
        assertThat(ConsistencyChecker.of(cluster).violations()).isZero();
      }
    }
  }

  private static boolean leaseExists(Cluster cluster, String daemon) throws Exception {
    HttpCall call = HttpCall.to(cluster.platformAddress(), "GET", "/v1/objects/lease/" + daemon);
    return cluster.http().send(call).ok();
  }

  /** Returns short requests at a steady rate, and one long stream each second. */
  private static List<PlannedRequest> requests() {
    List<PlannedRequest> requests =
        new ArrayList<>(new LoadPlan(SECONDS, RATE, ADAPTERS, 1, 10, 0, 0, 0, 4).requests());
    for (int i = 0; i < SECONDS; i++) {
      Optional<String> adapter = Optional.of(ClusterNames.adapter(i % ADAPTERS));
      requests.add(
          new PlannedRequest(
              "long-" + i,
              TimeUnit.SECONDS.toMicros(i),
              adapter,
              Optional.empty(),
              LONG_TOKENS,
              "INTERACTIVE",
              true));
    }
    requests.sort(Comparator.comparingLong(PlannedRequest::atMicros));
    return requests;
  }

  /** Selects daemons that were ready at its last poll, as the platform's load balancer does. */
  private static final class Balancer implements AutoCloseable {

    private static final long POLL_INTERVAL_MS = 500;

    private final Cluster cluster;
    private final OwnershipProbe probe;
    private final ScheduledExecutorService scheduler;
    private volatile List<InetSocketAddress> ready;

    Balancer(Cluster cluster, OwnershipProbe probe, ScheduledExecutorService scheduler) {
      this.cluster = cluster;
      this.probe = probe;
      this.scheduler = scheduler;
      this.ready = cluster.daemons().stream().map(DaemonNode::callerAddress).toList();
      scheduler.scheduleAtFixedRate(
          this::refresh, POLL_INTERVAL_MS, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void refresh() {
      List<InetSocketAddress> found = new ArrayList<>();
      try {
        for (DaemonNode daemon : cluster.daemons()) {
          if (probe.ready(daemon)) {
            found.add(daemon.callerAddress());
          }
        }
      } catch (InterruptedException closing) {
        return;
      }
      if (!found.isEmpty()) {
        ready = List.copyOf(found);
      }
    }

    InetSocketAddress pick(int number) {
      List<InetSocketAddress> targets = ready;
      return targets.get(number % targets.size());
    }

    @Override
    public void close() {
      scheduler.shutdownNow();
    }
  }
}
