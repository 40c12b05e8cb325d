package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.load.ConsistencyChecker;
import io.sequoiapass.testbed.load.LoadPlan;
import io.sequoiapass.testbed.load.LoadReport;
import io.sequoiapass.testbed.load.LoadTool;
import io.sequoiapass.testbed.load.Verdict;
import io.sequoiapass.testbed.wire.ObjectValues;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Verifies what callers see while operators change the version in force. */
class VersionFailureTest {

  private static final long LIMIT_MS = 20_000;
  private static final int ADAPTERS = 4;
  private static final int SLOTS = 3;
  private static final int CHANGES = 6;
  private static final int TOKENS = 60;

  // Operators repeatedly change the version in force of every adapter while requests run; slots are
  // too few for all versions. Callers that name the former version get a complete answer from it,
  // also while the other version is in force. A caller that names none gets one complete answer of
  // one version, the one that its answer states, since a request keeps the snapshot it started
  // with.
  @Test
  void aVersionChangeDuringRequestsMixesNoVersionsInAnAnswer() throws Exception {
    try (Cluster cluster =
            Cluster.builder()
                .daemons(2)
                .engines(2)
                .adapters(ADAPTERS)
                .engineSize(SLOTS, 32)
                .start();
        LoadTool tool = tool(cluster)) {
      cluster.awaitServing(LIMIT_MS);
      OwnershipProbe probe = new OwnershipProbe(cluster);
      tool.start(new LoadPlan(8, 10, ADAPTERS, 0.8, 40, 0, 0, 1, 11).requests());
      List<CompletableFuture<HttpAnswer>> unnamed = new ArrayList<>();
      for (int change = 0; change < CHANGES; change++) {
        long before = accepted(probe);
        for (int adapter = 0; adapter < ADAPTERS; adapter++) {
          unnamed.add(sendRequest(cluster, adapter));
        }
        probe.await("work", LIMIT_MS, () -> accepted(probe) >= before + 5);
        putVersionInForce(
            cluster,
            change % 2 == 0 ? ClusterNames.PREVIOUS_VERSION : ClusterNames.CURRENT_VERSION);
      }
      LoadReport report = ConsistencyChecker.of(cluster).apply(tool.await(LIMIT_MS));

      assertThat(report.count(Verdict.COMPLETE))
          .as("%s", report.reasons(5))
          .isEqualTo(report.sent());
      Set<String> versions = new HashSet<>();
      for (CompletableFuture<HttpAnswer> answer : unnamed) {
        versions.add(versionOf(answer.get(LIMIT_MS, TimeUnit.MILLISECONDS)));
      }
      assertThat(versions).as("a change came between requests").hasSize(2);
      assertThat(ConsistencyChecker.of(cluster).evictions()).as("slots were too few").isPositive();
      assertThat(ConsistencyChecker.of(cluster).violations()).isZero();
    }
  }

  private static CompletableFuture<HttpAnswer> sendRequest(Cluster cluster, int adapter) {
    String body =
        "{\"model\":\"%s\",\"prompt\":\"p\",\"max_tokens\":%d}"
            .formatted(ClusterNames.adapter(adapter), TOKENS);
    HttpCall call =
        HttpCall.to(cluster.daemon("d1").callerAddress(), "POST", "/v1/completions").body(body);
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return cluster.http().send(call);
          } catch (Exception failed) {
            throw new AssertionError(failed);
          }
        });
  }

  /**
   * Returns the single version of a complete answer: each token's text names the version that
   * generated it.
   */
  private static String versionOf(HttpAnswer answer) {
    assertThat(answer.status()).as(answer.text()).isEqualTo(200);
    String version = answer.headers().get("Adapter-Version");
    assertThat(answer.text().split("@" + version + "/", -1)).hasSize(TOKENS + 1);
    return version;
  }

  private static long accepted(OwnershipProbe probe) throws Exception {
    return probe.auditCounter("e1", "accepted") + probe.auditCounter("e2", "accepted");
  }

  private static void putVersionInForce(Cluster cluster, String inForce) throws Exception {
    List<String> versions = List.of(ClusterNames.PREVIOUS_VERSION, ClusterNames.CURRENT_VERSION);
    for (int i = 0; i < ADAPTERS; i++) {
      cluster
          .objects()
          .put(
              "adapter",
              ClusterNames.adapter(i),
              new ObjectValues.Adapter(ClusterNames.MODEL, inForce, versions));
    }
  }

  private static LoadTool tool(Cluster cluster) {
    return LoadTool.to(cluster.daemons().stream().map(DaemonNode::callerAddress).toList());
  }
}
