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
 * Callers see refusals and cut streams while parts fail, but nothing wrong: no token of another
 * adapter, no "not run" that ran, no second run of what may run once, no answer that never ends.
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
    tool = LoadTool.to(cluster.daemons().stream().map(DaemonNode::callers).toList());
    tool.start(plan.requests());
    awaitSent(REQUESTS_BEFORE_FAULT);
  }

  @AfterEach
  void stop() {
    tool.close();
    cluster.close();
  }

  /** Waits until so many requests were sent; the load's own end bounds the wait. */
  private void awaitSent(int requests) throws InterruptedException {
    for (int look = 0; look < LIMIT_MS && tool.sent() < requests; look++) {
      Thread.sleep(1);
    }
    assertThat(tool.sent()).isGreaterThanOrEqualTo(requests);
  }

  private void nothingIsWrong() throws Exception {
    LoadReport told = tool.await(LIMIT_MS);
    Judgement judgement = Judgement.of(cluster);
    LoadReport report = judgement.apply(told);
    List<String> reasons = report.reasons(10);
    System.out.printf(
        "faults: sent=%d whole=%d not_run=%d unknown=%d %s%n",
        report.sent(),
        report.count(Verdict.WHOLE),
        report.count(Verdict.NOT_RUN),
        report.count(Verdict.UNKNOWN),
        reasons);
    assertThat(report.count(Verdict.WRONG)).as("wrong: %s", reasons).isZero();
    assertThat(report.unanswered()).as("without a final answer: %s", reasons).isZero();
    assertThat(judgement.violations()).as("%s", judgement.violationDetails()).isZero();
    assertThat(report.count(Verdict.WHOLE)).isGreaterThan(report.sent() / 2);
  }

  // A daemon is killed with streams in flight, as entry and as owner. Its callers lose their
  // connections; requests of others that it owned are resumed or told UNKNOWN; a new process of the
  // same name comes back and knows nothing of them.
  @Test
  void daemonKilledAndReplaced() throws Exception {
    DaemonNode daemon = cluster.daemon("d1");
    daemon.process().kill();
    awaitSent(REQUESTS_BEFORE_FAULT + REQUESTS_UNDER_FAULT);
    cluster.restart(daemon);
    nothingIsWrong();
  }

  // An engine restarts empty between route and send: streams break off, and requests for adapters
  // that the owner believes resident are refused by it.
  @Test
  void engineRestartsEmpty() throws Exception {
    for (EndpointNode engine : cluster.endpoints(EndpointNode.EndpointKind.ENGINE)) {
      cluster.faults(engine.address(), "{\"restart\":true}");
    }
    nothingIsWrong();
  }

  // The link from an entry to an owner hangs without closing: requests sent into it have perhaps
  // started, and their answers never come. After a while it heals and late frames arrive.
  @Test
  void peerLinkFrozenAndHealed() throws Exception {
    cluster.proxies().toPeer("d1", "d2").set(ProxyFault.freeze());
    cluster.proxies().toPeer("d3", "d1").set(ProxyFault.freeze());
    awaitSent(REQUESTS_BEFORE_FAULT + REQUESTS_UNDER_FAULT);
    cluster.proxies().toPeer("d1", "d2").set(ProxyFault.none());
    cluster.proxies().toPeer("d3", "d1").set(ProxyFault.none());
    nothingIsWrong();
  }

  // The platform is out and engines lose answers to requests that they run: the owner cannot know.
  @Test
  void platformOutAndAnswersLost() throws Exception {
    cluster.faults(cluster.platformAddress(), "{\"outage\":true}");
    cluster.faults(cluster.endpoint("e1").address(), "{\"lose_answer\":true}");
    cluster.faults(cluster.endpoint("s1").address(), "{\"lose_answer\":true}");
    awaitSent(REQUESTS_BEFORE_FAULT + REQUESTS_UNDER_FAULT);
    cluster.faults(cluster.endpoint("e1").address(), "{}");
    cluster.faults(cluster.endpoint("s1").address(), "{}");
    cluster.faults(cluster.platformAddress(), "{}");
    nothingIsWrong();
  }
}
