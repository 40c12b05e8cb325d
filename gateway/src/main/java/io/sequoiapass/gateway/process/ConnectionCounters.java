package io.sequoiapass.gateway.process;

import io.sequoiapass.daemon.connection.ConnectionObserver;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.daemon.connection.ResponseMemory;
import io.sequoiapass.daemon.connection.ReusePolicy;
import java.util.Map;

/** Counts the connections to endpoints by purpose. Safe for use by several threads. */
final class ConnectionCounters {

  private static final String OPENED = "sequoiapass_connections_opened_total{purpose=\"%s\"}";
  private static final String REUSED = "sequoiapass_connections_reused_total{purpose=\"%s\"}";

  private static final String PASSED_OVER =
      "sequoiapass_connections_passed_over_total{purpose=\"%s\"}";
  private static final String DISCARDED = "sequoiapass_responses_to_others_total{purpose=\"%s\"}";
  private static final String UNATTRIBUTED =
      "sequoiapass_responses_unattributed_total{purpose=\"%s\"}";

  private final GatewayMetrics metrics;

  ConnectionCounters(GatewayMetrics metrics) {
    this.metrics = metrics;
  }

  /** Returns the client that sends callers' requests and probes, whose responses are measured. */
  HttpClient requests(HttpClient client) {
    ResponseMemory memory = client.memory();
    metrics.gauges(
        "sequoiapass_held_response_bytes", () -> Map.of("", (double) memory.usedBytes()));
    metrics.gauges(
        "sequoiapass_responses_discarded_total", () -> Map.of("", (double) memory.discarded()));
    return client.observedBy(observer("request", "probe"));
  }

  /** Returns the observer of the client that sends a coordinator's orders. */
  ConnectionObserver orders() {
    return observer("order", "order");
  }

  /**
   * Returns an observer of one client.
   *
   * @param purpose what its calls are for
   * @param unpooledPurpose what those are for that take no idle connection
   */
  private ConnectionObserver observer(String purpose, String unpooledPurpose) {
    return new ConnectionObserver() {
      @Override
      public void opened(ReusePolicy policy) {
        metrics.count(OPENED.formatted(policy == ReusePolicy.NONE ? unpooledPurpose : purpose));
      }

      @Override
      public void reused() {
        metrics.count(REUSED.formatted(purpose));
      }

      @Override
      public void passedOver() {
        metrics.count(PASSED_OVER.formatted(purpose));
      }

      @Override
      public void discarded() {
        metrics.count(DISCARDED.formatted(purpose));
      }

      @Override
      public void unattributed() {
        metrics.count(UNATTRIBUTED.formatted(purpose));
      }
    };
  }
}
