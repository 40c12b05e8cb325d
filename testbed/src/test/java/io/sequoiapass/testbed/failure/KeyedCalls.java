package io.sequoiapass.testbed.failure;

import com.google.gson.JsonElement;
import io.sequoiapass.testbed.HttpProbe;
import io.sequoiapass.testbed.launch.Cluster;
import io.sequoiapass.testbed.launch.ClusterNames;
import io.sequoiapass.testbed.launch.EndpointNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;

/** Sends payment slips with idempotency keys and counts the runs at the services. */
final class KeyedCalls {

  private static final long RETRY_INTERVAL_MS = 50;

  private final Cluster cluster;

  KeyedCalls(Cluster cluster) {
    this.cluster = cluster;
  }

  HttpResponse<String> sendSlip(String daemon, String key, String body)
      throws IOException, InterruptedException {
    return new HttpProbe(cluster.daemon(daemon).callerAddress())
        .call(
            "POST",
            "/services/" + ClusterNames.SLIPS + "/pay",
            body,
            "Idempotency-Key",
            key,
            "Deadline-Ms",
            "8000");
  }

  /** Sends a slip, and sends it again while the record of its key is unavailable. */
  HttpResponse<String> sendSlipUntilLedgerAvailable(
      String daemon, String key, String body, long limitMs)
      throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
    HttpResponse<String> answer = sendSlip(daemon, key, body);
    while (answer.body().contains("LEDGER_UNAVAILABLE") && System.nanoTime() < deadlineNanos) {
      TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
      answer = sendSlip(daemon, key, body);
    }
    return answer;
  }

  /** Sends a slip, and sends it again while the outcome is NOT RUN. */
  HttpResponse<String> sendSlipUntilRun(String daemon, String key, String body, long limitMs)
      throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
    HttpResponse<String> answer = sendSlip(daemon, key, body);
    while (outcome(answer).equals("NOT_RUN") && System.nanoTime() < deadlineNanos) {
      TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
      answer = sendSlip(daemon, key, body);
    }
    return answer;
  }

  int runs(String key) throws IOException, InterruptedException {
    int runs = 0;
    for (EndpointNode service : cluster.endpoints(EndpointNode.EndpointKind.SERVICE)) {
      JsonElement count =
          new HttpProbe(service.address()).json("/judge").getAsJsonObject("runs_by_key").get(key);
      runs += count == null ? 0 : count.getAsInt();
    }
    return runs;
  }

  void faults(String json) throws IOException, InterruptedException {
    for (EndpointNode service : cluster.endpoints(EndpointNode.EndpointKind.SERVICE)) {
      cluster.setFaults(service.address(), json);
    }
  }

  static String outcome(HttpResponse<String> answer) {
    return answer.headers().firstValue("Outcome").orElse("none");
  }
}
