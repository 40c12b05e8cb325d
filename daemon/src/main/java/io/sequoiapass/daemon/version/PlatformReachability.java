package io.sequoiapass.daemon.version;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.platform.PlatformException;
import java.util.Objects;

/**
 * Tracks whether this daemon reaches the platform over its own connection, based on its last call.
 *
 * <p>Lease renewals are no evidence of this, since a peer may relay the renewals of a disconnected
 * daemon. Safe for use by several threads.
 */
final class PlatformReachability {

  /** At this interval, 400 daemons make 40 calls per second in an outage. */
  private static final long PROBE_INTERVAL_MS = 10_000;

  private final MillisClock clock;
  private boolean cutOff;
  private long failedAt;

  PlatformReachability(MillisClock clock) {
    this.clock = Objects.requireNonNull(clock, "clock");
  }

  synchronized void succeeded() {
    cutOff = false;
  }

  synchronized void failed(Throwable failure) {
    boolean answered =
        failure.getCause() instanceof PlatformException cause
            && cause.reason() != PlatformException.Reason.UNAVAILABLE;
    cutOff = !answered;
    failedAt = clock.millis();
  }

  /** Returns whether the last call was not answered. */
  synchronized boolean isCutOff() {
    return cutOff;
  }

  /**
   * Returns whether a disconnected daemon, which its peers exclude as a watcher, is due to probe
   * the platform.
   */
  synchronized boolean isProbeDue() {
    return cutOff && clock.millis() - failedAt >= PROBE_INTERVAL_MS;
  }
}
