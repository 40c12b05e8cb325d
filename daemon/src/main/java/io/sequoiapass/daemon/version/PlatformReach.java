package io.sequoiapass.daemon.version;

import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.platform.PlatformException;
import java.util.Objects;

/**
 * Tells whether this daemon's own connection to the platform carries calls, as its last one showed.
 *
 * <p>The lease's contact does not tell: a peer may relay the renewals of a daemon that is cut off.
 * Safe for use by several threads.
 */
final class PlatformReach {

  /** Rare enough that 400 daemons in an outage make 40 calls a second. */
  private static final long PROBE_EVERY_MS = 10_000;

  private final MillisClock clock;
  private boolean cutOff;
  private long failedAt;

  PlatformReach(MillisClock clock) {
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

  /** Returns whether the last call had no answer. */
  synchronized boolean isCutOff() {
    return cutOff;
  }

  /** Returns whether a daemon that is cut off, and on which nobody counts, is to try again. */
  synchronized boolean isProbeDue() {
    return cutOff && clock.millis() - failedAt >= PROBE_EVERY_MS;
  }
}
