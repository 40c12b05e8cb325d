package io.sequoiapass.testbed.launch;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.load.ConsistencyChecker;
import io.sequoiapass.testbed.load.LoadPlan;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.Verdict;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClusterTest {

  private static final long LIMIT_MS = 30_000;

  @Test
  void answersThroughProxiesAndStopsAllProcesses() throws Exception {
    LaunchedProcess daemon;
    LaunchedProcess engine;
    try (Cluster cluster =
        Cluster.builder().daemons(2).engines(1).services(1).adapters(2).withProxies().start()) {
      cluster.awaitServing(LIMIT_MS);
      daemon = cluster.daemon("d1").process();
      engine = cluster.endpoint("e1").process();
      LoadPlan plan = new LoadPlan(2, 20, 2, 1, 4, 0.2, 0.2, 0, 1);

      LoadReport report;
      try (LoadTool tool =
          LoadTool.to(cluster.daemons().stream().map(DaemonNode::callerAddress).toList())) {
        tool.start(plan.requests());
        LoadReport unchecked = tool.await(LIMIT_MS);
        report = ConsistencyChecker.of(cluster).apply(unchecked);
      }

      assertThat(report.reasons(5)).isEmpty();
      assertThat(report.count(Verdict.COMPLETE)).isEqualTo(plan.requests().size());
    }
    assertThat(daemon.alive()).isFalse();
    assertThat(engine.alive()).isFalse();
  }

  // A paused engine neither answers nor closes connections; calls wait and succeed after a resume.
  @Test
  void pausesAndResumesAProcess() throws Exception {
    try (Cluster cluster = Cluster.builder().daemons(0).engines(1).adapters(0).start()) {
      EndpointNode engine = cluster.endpoint("e1");
      engine.process().pause();
      assertThat(engine.process().alive()).isTrue();
      engine.process().resume();

      HttpAnswer answer = cluster.http().send(HttpCall.to(engine.address(), "GET", "/v1/state"));
      assertThat(answer.ok()).isTrue();

      engine.process().kill();
      assertThat(engine.process().awaitExit(LIMIT_MS)).isNotZero();
      cluster.restart(engine);
      assertThat(cluster.endpoints()).extracting(EndpointNode::id).isEqualTo(List.of("e1"));
      assertThat(cluster.http().send(HttpCall.to(engine.address(), "GET", "/v1/state")).ok())
          .isTrue();
    }
  }
}
