package io.sequoiapass.testbed.standin;

import io.netty.channel.EventLoop;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in for a plain service: accepts any path and counts runs, so tests can detect repeated
 * ones.
 */
final class ServiceStandIn extends AuditedHandler {

  private final String id;
  private final int workMs;
  private final EventLoop loop;
  private final Map<String, Integer> runsByRequest = new TreeMap<>();
  private final Map<String, Integer> runsByKey = new TreeMap<>();
  private Faults faults = new Faults(false, false, 0);
  private long runs;
  private long refused;

  ServiceStandIn(String id, int workMs, EventLoop loop) {
    this.id = id;
    this.workMs = workMs;
    this.loop = loop;
  }

  @Override
  void setFaults(String json) {
    faults = read(json, Faults.class);
  }

  @Override
  Object audit(HttpRequestMessage request) {
    return new AuditReport(id, runs, refused, runsByRequest, runsByKey);
  }

  @Override
  void serve(HttpRequestMessage request, HttpResponder responder) {
    if (faults.refuse) {
      refused++;
      error(responder, 503, "refused");
      return;
    }
    String requestId = request.header("Request-Id").orElse("");
    String key = request.header("Idempotency-Key").orElse("");
    runs++;
    runsByRequest.merge(requestId, 1, Integer::sum);
    if (!key.isEmpty()) {
      runsByKey.merge(key, 1, Integer::sum);
    }
    Answer answer = new Answer(id, request.method(), request.target(), requestId, key);
    boolean lost = faults.loseAnswer;
    loop.schedule(
        () -> answer(responder, answer, lost), workMs + faults.delayMs, TimeUnit.MILLISECONDS);
  }

  private static void answer(HttpResponder responder, Answer answer, boolean lost) {
    if (lost) {
      responder.abort();
    } else {
      ok(responder, answer);
    }
  }

  private record Faults(boolean refuse, boolean loseAnswer, int delayMs) {}

  private record Answer(
      String endpoint, String method, String target, String requestId, String idempotencyKey) {}

  private record AuditReport(
      String endpoint,
      long runs,
      long refused,
      Map<String, Integer> runsByRequest,
      Map<String, Integer> runsByKey) {}
}
