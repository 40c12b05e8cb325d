package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.ConnectionObserver;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.daemon.connection.ResponseMemory;
import io.sequoiapass.daemon.connection.ReusePolicy;
import io.sequoiapass.daemon.connection.StrayResponse;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts the connections to endpoints by purpose, and remembers which endpoints send responses
 * twice. Safe for use by several threads.
 */
final class ConnectionCounters {

  private static final String OPENED = "sequoiapass_connections_opened_total{purpose=\"%s\"}";
  private static final String REUSED = "sequoiapass_connections_reused_total{purpose=\"%s\"}";

  private static final String PASSED_OVER =
      "sequoiapass_connections_passed_over_total{purpose=\"%s\"}";
  private static final String DISCARDED =
      "sequoiapass_responses_to_others_total{purpose=\"%s\",kind=\"%s\"}";
  private static final String UNATTRIBUTED =
      "sequoiapass_responses_unattributed_total{purpose=\"%s\"}";

  /** How long an endpoint that has sent a response twice counts as faulty, in milliseconds. */
  private static final long COPIES_MS = 60_000;

  private final GatewayMetrics metrics;
  private final MillisClock clock;
  private final Map<InetSocketAddress, Long> copiedAt = new ConcurrentHashMap<>();

  /**
   * Creates counters.
   *
   * @param metrics the metrics
   * @param clock the monotonic clock
   */
  ConnectionCounters(GatewayMetrics metrics, MillisClock clock) {
    this.metrics = metrics;
    this.clock = clock;
  }

  /** Returns whether an endpoint has lately sent a response that nobody had requested. */
  boolean copiesResponses(InetSocketAddress endpoint) {
    Long at = copiedAt.get(endpoint);
    if (at == null) {
      return false;
    }
    boolean isRecent = clock.millis() - at < COPIES_MS;
    if (!isRecent) {
      copiedAt.remove(endpoint, at);
    }
    return isRecent;
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
      public void stray(InetSocketAddress server, StrayResponse response) {
        metrics.count(DISCARDED.formatted(purpose, response.label()));
        copiedAt.put(server, clock.millis());
      }

      @Override
      public void unattributed() {
        metrics.count(UNATTRIBUTED.formatted(purpose));
      }
    };
  }
}
