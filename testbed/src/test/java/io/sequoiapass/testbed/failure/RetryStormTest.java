package io.sequoiapass.testbed.failure;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.DaemonNode;
import io.sequoiapass.testbed.launch.EndpointNode;
import io.sequoiapass.testbed.launch.EndpointNode.EndpointKind;
import io.sequoiapass.testbed.wire.ObjectValues;
import java.util.List;
import org.junit.jupiter.api.Test;

class RetryStormTest {

  private static final long LIMIT_MS = 30_000;
  private static final long LOOK_MS = 20;
  private static final int CALLS = 600;

  /** The daemons' own: one in ten, and a burst of 20 in each shard. */
  private static final int BUDGET = CALLS / 10 + 20 * 2;

  private static long runs(Cluster cluster) throws Exception {
    long runs = 0;
    for (EndpointNode endpoint : cluster.endpoints(EndpointKind.SERVICE)) {
      HttpCall call = HttpCall.to(endpoint.address(), "GET", "/judge");
      runs += cluster.http().read(call, JsonObject.class).get("runs").getAsLong();
    }
    return runs;
  }

  private static long revision(Cluster cluster, DaemonNode daemon) throws Exception {
    HttpCall call = HttpCall.to(daemon.operators(), "GET", "/status");
    return cluster.http().read(call, JsonObject.class).get("revision").getAsLong();
  }

  private static void makeRepeatable(Cluster cluster) throws Exception {
    long before = revision(cluster, cluster.daemons().get(0));
    List<String> endpoints =
        cluster.endpoints(EndpointKind.SERVICE).stream().map(EndpointNode::id).toList();
    cluster
        .objects()
        .put(
            "service",
            ClusterNames.SLIPS,
            new ObjectValues.Service(null, List.of(), endpoints, true, "INTERACTIVE", 100_000));
    for (DaemonNode daemon : cluster.daemons()) {
      for (long looks = LIMIT_MS / LOOK_MS; revision(cluster, daemon) <= before; looks--) {
        assertThat(looks).as("%s learns of the change", daemon.id()).isPositive();
        Thread.sleep(LOOK_MS);
      }
    }
  }

  // One of three endpoints takes each call and cuts the connection. Its callers' calls may run
  // twice, so each goes on elsewhere; without a circuit every third call finds the dead endpoint
  // out anew, the retry budget is used up by that, and the rest of these callers hear UNKNOWN. The
  // judges count what arrived beyond the first of each call: it has to stay inside the budget.
  @Test
  void aThirdOfTheEndpointsDiesWithoutAStorm() throws Exception {
    try (Cluster cluster =
        Cluster.builder().daemons(2).engines(0).services(3).daemonFlags("--threads", "1").start()) {
      cluster.awaitServing(LIMIT_MS);
      makeRepeatable(cluster);
      cluster.faults(cluster.endpoint("s1").address(), "{\"lose_answer\":true}");
      long before = runs(cluster);
      int answered = 0;
      for (int i = 0; i < CALLS; i++) {
        DaemonNode daemon = cluster.daemons().get(i % 2);
        String path = "/services/" + ClusterNames.SLIPS + "/lookup";
        HttpAnswer answer = cluster.http().send(HttpCall.to(daemon.callers(), "POST", path));
        answered += answer.ok() ? 1 : 0;
      }
      long beyondFirst = runs(cluster) - before - CALLS;
      System.out.printf(
          "storm: answered %d of %d, arrivals beyond the first %d, budget %d%n",
          answered, CALLS, beyondFirst, BUDGET);
      assertThat(answered).as("answered").isEqualTo(CALLS);
      assertThat(beyondFirst).as("the fault was met").isPositive();
      assertThat(beyondFirst).as("arrivals beyond the first").isLessThanOrEqualTo(BUDGET);
    }
  }
}
