package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.MillisClock;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Drives a {@link ConnectionSurge} with probes of the event loops and the connections of callers.
 *
 * <p>Safe for use by several threads.
 */
final class SurgeGuard {

  private final MillisClock clock;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final ConnectionSurge surge;
  private long probedAt;
  private volatile boolean refusing;

  /**
   * Creates a guard that refuses nothing until {@link #start}.
   *
   * @param clock the monotonic clock
   * @param log the log
   * @param metrics the counters
   */
  SurgeGuard(MillisClock clock, DecisionLog log, GatewayMetrics metrics) {
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.surge = new ConnectionSurge(clock.millis());
  }

  /** Starts the probes; returns this. */
  SurgeGuard start(ScheduledExecutorService loop) {
    probedAt = clock.millis();
    loop.scheduleAtFixedRate(
        this::probe, ConnectionSurge.PROBE_MS, ConnectionSurge.PROBE_MS, TimeUnit.MILLISECONDS);
    return this;
  }

  private void probe() {
    synchronized (this) {
      long now = clock.millis();
      surge.probed(now - probedAt - ConnectionSurge.PROBE_MS, now);
      probedAt = now;
    }
    publish();
  }

  private void publish() {
    boolean isRefusing;
    synchronized (this) {
      isRefusing = surge.isRefusing();
      if (isRefusing == refusing) {
        return;
      }
      refusing = isRefusing;
    }
    log.event("connection_surge").with("refusing", isRefusing).write();
  }

  /** Returns whether a connection that has just been opened is kept. */
  boolean accepts() {
    boolean isKept;
    synchronized (this) {
      isKept = surge.opened(clock.millis());
    }
    publish();
    if (!isKept) {
      metrics.count("sequoiapass_connections_refused_total");
    }
    return isKept;
  }

  /** Returns whether new connections are refused. */
  boolean isRefusing() {
    return refusing;
  }
}
