package io.sequoiapass.daemon.connection;

import io.netty.channel.EventLoop;
import io.sequoiapass.coordination.MillisClock;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Detects whether an event loop reads data that may have arrived long ago, as after a pause of its
 * process.
 *
 * <pre>{@code
 * EventLoopStallDetector detector =
 *     EventLoopStallDetector.start(channel.eventLoop(), MillisClock.monotonic());
 * if (detector.hasRecentlyStalled()) { ... the client may have disconnected ... }
 * }</pre>
 *
 * <p>After a stall, a loop finds requests together with the close of their connections. It reads
 * the requests first, and would forward requests of clients that have disconnected. Not
 * thread-safe; used on its event loop only.
 */
final class EventLoopStallDetector {

  /** Interval between two probes; a probe takes some microseconds. */
  private static final long PROBE_INTERVAL_MS = 100;

  /**
   * Age of the last probe above which the loop has stalled: two missed probes. It is below the half
   * second after which requests of disconnected clients must not reach endpoints; a false positive
   * delays its requests by 2 ms.
   */
  private static final long STALL_THRESHOLD_MS = 3 * PROBE_INTERVAL_MS;

  /**
   * Time after a stall during which read data may still be old: connections that wait to be
   * accepted are read only in later iterations of the loop.
   */
  private static final long CATCH_UP_MS = 300;

  private final MillisClock clock;
  private long lastProbe;
  private long catchUpUntil;
  private Future<?> probes;

  private EventLoopStallDetector(MillisClock clock) {
    this.clock = clock;
    this.lastProbe = clock.millis();
    this.catchUpUntil = lastProbe;
  }

  /**
   * Starts a detector on a loop.
   *
   * @param loop the loop
   * @param clock the clock of the probes
   */
  static EventLoopStallDetector start(EventLoop loop, MillisClock clock) {
    EventLoopStallDetector detector = new EventLoopStallDetector(clock);
    detector.probes =
        loop.scheduleWithFixedDelay(
            detector::probe, PROBE_INTERVAL_MS, PROBE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    return detector;
  }

  private void probe() {
    long now = clock.millis();
    if (now - lastProbe > STALL_THRESHOLD_MS) {
      catchUpUntil = now + CATCH_UP_MS;
    }
    lastProbe = now;
  }

  /** Returns whether the data that the loop reads may have arrived long ago. */
  boolean hasRecentlyStalled() {
    long now = clock.millis();
    return now - lastProbe > STALL_THRESHOLD_MS || now < catchUpUntil;
  }

  /** Stops the probes. */
  void stop() {
    probes.cancel(false);
  }
}
