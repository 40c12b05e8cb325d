package io.sequoiapass.testbed.load;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.launch.EndpointNode;
import io.sequoiapass.testbed.proxy.ProxyFault;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that faults under load cause only refusals and broken streams, never a token of another
 * adapter, a run of a request reported as NOT RUN, a second run of a non-repeatable request, or a
 * request without a final answer.
 */
class FaultsUnderLoadTest {

  private static final long LIMIT_MS = 60_000;
  private static final int REQUESTS_BEFORE_FAULT = 40;
  private static final int REQUESTS_UNDER_FAULT = 50;

  private final LoadPlan plan = new LoadPlan(5, 30, 20, 1.5, 40, 0.2, 0.3, 0.1, 3);
  private Cluster cluster;
  private LoadTool tool;

  @BeforeEach
  void start() throws Exception {
    cluster =
        Cluster.builder()
            .dataCentres("north", "south")
            .daemons(2)
            .engines(2)
            .services(1)
            .adapters(20)
            .withProxies()
            .start();
    cluster.awaitServing(LIMIT_MS);
    tool = LoadTool.to(cluster.daemons().stream().map(DaemonNode::callerAddress).toList());
    tool.start(plan.requests());
    awaitSent(REQUESTS_BEFORE_FAULT);
  }

  @AfterEach
  void stop() {
    tool.close();
    cluster.close();
  }

  /** Waits until a number of requests have been sent; the duration of the load bounds the wait. */
  private void awaitSent(int requests) throws InterruptedException {
    for (int poll = 0; poll < LIMIT_MS && tool.sent() < requests; poll++) {
      Thread.sleep(1);
    }
    assertThat(tool.sent()).isGreaterThanOrEqualTo(requests);
  }

  private void assertNothingWrong() throws Exception {
    LoadReport received = tool.await(LIMIT_MS);
    ConsistencyChecker checker = ConsistencyChecker.of(cluster);
    LoadReport report = checker.apply(received);
    List<String> reasons = report.reasons(10);
    System.out.printf(
        "faults: sent=%d whole=%d not_run=%d unknown=%d %s%n",
        report.sent(),
        report.count(Verdict.COMPLETE),
        report.count(Verdict.NOT_RUN),
        report.count(Verdict.UNKNOWN),
        reasons);
    assertThat(report.count(Verdict.WRONG)).as("wrong: %s", reasons).isZero();
    assertThat(report.unanswered()).as("without a final answer: %s", reasons).isZero();
    assertThat(checker.violations()).as("%s", checker.violationDetails()).isZero();
    assertThat(report.count(Verdict.COMPLETE)).isGreaterThan(report.sent() / 2);
  }

  // A daemon that is both entry and owner is killed with streams in flight. Its callers lose their
  // connections; requests from other entries that it served are resumed or reported as UNKNOWN; a
  // new process with the same name starts without state about them.
  @Test
  void daemonKilledAndReplaced() throws Exception {
    DaemonNode daemon = cluster.daemon("d1");
    daemon.process().kill();
    awaitSent(REQUESTS_BEFORE_FAULT + REQUESTS_UNDER_FAULT);
    cluster.restart(daemon);
    assertNothingWrong();
  }

  // An engine restarts without adapters between routing and sending: streams break, and the engine
  // refuses requests for adapters that the owner assumes to be resident.
  @Test
  void engineRestartsEmpty() throws Exception {
    for (EndpointNode engine : cluster.endpoints(EndpointNode.EndpointKind.ENGINE)) {
      cluster.setFaults(engine.address(), "{\"restart\":true}");
    }
    assertNothingWrong();
  }

  // The link from an entry to an owner stalls without closing: requests sent over it may have
  // started, and their answers do not arrive. Later the link recovers and late frames arrive.
  @Test
  void peerLinkFrozenAndHealed() throws Exception {
    cluster.proxies().toPeer("d1", "d2").set(ProxyFault.freeze());
    cluster.proxies().toPeer("d3", "d1").set(ProxyFault.freeze());
    awaitSent(REQUESTS_BEFORE_FAULT + REQUESTS_UNDER_FAULT);
    cluster.proxies().toPeer("d1", "d2").set(ProxyFault.none());
    cluster.proxies().toPeer("d3", "d1").set(ProxyFault.none());
    assertNothingWrong();
  }

  // The platform is out and answers of endpoints are lost: the owner cannot determine whether a
  // request ran.
  @Test
  void platformOutAndAnswersLost() throws Exception {
    cluster.setFaults(cluster.platformAddress(), "{\"outage\":true}");
    cluster.setFaults(cluster.endpoint("e1").address(), "{\"lose_answer\":true}");
    cluster.setFaults(cluster.endpoint("s1").address(), "{\"lose_answer\":true}");
    awaitSent(REQUESTS_BEFORE_FAULT + REQUESTS_UNDER_FAULT);
    cluster.setFaults(cluster.endpoint("e1").address(), "{}");
    cluster.setFaults(cluster.endpoint("s1").address(), "{}");
    cluster.setFaults(cluster.platformAddress(), "{}");
    assertNothingWrong();
  }
}
