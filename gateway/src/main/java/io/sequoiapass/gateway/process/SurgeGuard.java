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

  private final ScheduledExecutorService loop;
  private final MillisClock clock;
  private final DecisionLog log;
  private final GatewayMetrics metrics;
  private final ConnectionSurge surge;
  private boolean isScheduled;
  private long dueAt;
  private volatile boolean refusing;

  /**
   * Creates a guard that refuses nothing.
   *
   * @param loop runs probes
   * @param clock the monotonic clock
   * @param log the log
   * @param metrics the counters
   */
  SurgeGuard(
      ScheduledExecutorService loop, MillisClock clock, DecisionLog log, GatewayMetrics metrics) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.metrics = metrics;
    this.surge = new ConnectionSurge(clock.millis());
  }

  private void scheduleProbe() {
    synchronized (this) {
      if (isScheduled || !surge.wantsProbe()) {
        return;
      }
      isScheduled = true;
      dueAt = clock.millis() + ConnectionSurge.PROBE_MS;
    }
    loop.schedule(this::probe, ConnectionSurge.PROBE_MS, TimeUnit.MILLISECONDS);
  }

  private void probe() {
    synchronized (this) {
      isScheduled = false;
      long now = clock.millis();
      surge.probed(now - dueAt, now);
    }
    publish();
    scheduleProbe();
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
    scheduleProbe();
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
