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
  private static final long POLL_INTERVAL_MS = 20;
  private static final int CALLS = 600;

  /** The daemons' retry budget: one in ten calls, and a burst of 20 in each shard. */
  private static final int RETRY_BUDGET = CALLS / 10 + 20 * 2;

  private static long runs(Cluster cluster) throws Exception {
    long runs = 0;
    for (EndpointNode endpoint : cluster.endpoints(EndpointKind.SERVICE)) {
      HttpCall call = HttpCall.to(endpoint.address(), "GET", "/judge");
      runs += cluster.http().read(call, JsonObject.class).get("runs").getAsLong();
    }
    return runs;
  }

  private static long revision(Cluster cluster, DaemonNode daemon) throws Exception {
    HttpCall call = HttpCall.to(daemon.operatorAddress(), "GET", "/status");
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
      for (long polls = LIMIT_MS / POLL_INTERVAL_MS; revision(cluster, daemon) <= before; polls--) {
        assertThat(polls).as("%s receives the change", daemon.id()).isPositive();
        Thread.sleep(POLL_INTERVAL_MS);
      }
    }
  }

  // One of three endpoints accepts each call and cuts the connection. The calls are repeatable, so
  // each is retried on another endpoint. Without a circuit breaker every third call runs into the
  // failed endpoint anew, the retry budget is exhausted, and the remaining callers get UNKNOWN. The
  // arrivals beyond the first of each call, counted at the endpoints, must stay within the budget.
  @Test
  void aFailedThirdOfTheEndpointsCausesNoRetryStorm() throws Exception {
    try (Cluster cluster =
        Cluster.builder().daemons(2).engines(0).services(3).daemonFlags("--threads", "1").start()) {
      cluster.awaitServing(LIMIT_MS);
      makeRepeatable(cluster);
      cluster.setFaults(cluster.endpoint("s1").address(), "{\"lose_answer\":true}");
      long before = runs(cluster);
      int answered = 0;
      for (int i = 0; i < CALLS; i++) {
        DaemonNode daemon = cluster.daemons().get(i % 2);
        String path = "/services/" + ClusterNames.SLIPS + "/lookup";
        HttpAnswer answer = cluster.http().send(HttpCall.to(daemon.callerAddress(), "POST", path));
        answered += answer.ok() ? 1 : 0;
      }
      long beyondFirst = runs(cluster) - before - CALLS;
      System.out.printf(
          "storm: answered %d of %d, arrivals beyond the first %d, budget %d%n",
          answered, CALLS, beyondFirst, RETRY_BUDGET);
      assertThat(answered).as("answered").isEqualTo(CALLS);
      assertThat(beyondFirst).as("the fault took effect").isPositive();
      assertThat(beyondFirst).as("arrivals beyond the first").isLessThanOrEqualTo(RETRY_BUDGET);
    }
  }
}
