package io.sequoiapass.gateway.process;

import io.sequoiapass.daemon.connection.CloseReason;
import io.sequoiapass.daemon.connection.ServerObserver;
import java.util.Locale;

/**
 * Counts and logs why one of the daemon's servers closes connections, and exceptions there.
 *
 * <p>Safe for use by several threads.
 */
final class ServerLog implements ServerObserver {

  private final String server;
  private final DecisionLog log;
  private final TaskGuard guard;
  private final GatewayMetrics metrics;

  /**
   * Creates it.
   *
   * @param server the server's clients
   * @param log the log
   * @param guard records exceptions
   * @param metrics the counters
   */
  ServerLog(String server, DecisionLog log, TaskGuard guard, GatewayMetrics metrics) {
    this.server = server;
    this.log = log;
    this.guard = guard;
    this.metrics = metrics;
  }

  @Override
  public void closing(CloseReason reason, boolean isRequestOpen, long lateMs) {
    String name = reason.name().toLowerCase(Locale.ROOT);
    metrics.count(
        "sequoiapass_connections_closed_total{server=\"%s\",reason=\"%s\",request_open=\"%s\"}"
            .formatted(server, name, isRequestOpen));
    if (isRequestOpen) {
      log.event("connection_closed")
          .with("server", server)
          .with("reason", name)
          .with("late_ms", lateMs)
          .write();
    }
  }

  @Override
  public void failed(Throwable cause) {
    guard.failed("requests of " + server, cause);
  }
}
