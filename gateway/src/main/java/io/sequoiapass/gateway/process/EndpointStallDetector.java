package io.sequoiapass.gateway.process;

/**
 * Detects that an endpoint sends nothing on any of the streams that it carries for this daemon.
 *
 * <p>Estimates the usual pause between events. Not safe for use by several threads.
 */
final class EndpointStallDetector {

  /** Smallest number of streams: a single one may wait for a long prompt in its batch. */
  private static final int MIN_STREAMS = 2;

  /**
   * Shortest pause that counts as a stall, in milliseconds. A sound endpoint may be silent for a
   * second or so; a request that leaves it then would run at two endpoints at once.
   */
  private static final long MIN_STALL_MS = 1_600;

  /** Shortest pause that counts as a stall, relative to the usual pause. */
  private static final double STALL_PAUSE_RATIO = 8;

  private static final double FIRST_PAUSE_MS = 50;
  private static final double MAX_PAUSE_MS = 2_000;

  private final MovingAverage pauseMs = new MovingAverage(FIRST_PAUSE_MS, 1, MAX_PAUSE_MS);
  private int streams;
  private long lastEventAt;

  /** Records that a stream has started. */
  void streamStarted(long now) {
    streams++;
    lastEventAt = now;
  }

  /** Records an event on any stream. */
  void progress(long now) {
    if (streams >= MIN_STREAMS) {
      pauseMs.sample((double) (now - lastEventAt));
    }
    lastEventAt = now;
  }

  /** Records that a stream has ended. */
  void streamEnded() {
    streams--;
  }

  /** Returns whether the endpoint sends nothing on any of several streams. */
  boolean isStalled(long now) {
    double stallMs = Math.max(MIN_STALL_MS, STALL_PAUSE_RATIO * pauseMs.value());
    return streams >= MIN_STREAMS && now - lastEventAt >= stallMs;
  }
}
