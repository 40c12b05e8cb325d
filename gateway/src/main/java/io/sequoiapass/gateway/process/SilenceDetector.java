package io.sequoiapass.gateway.process;

/**
 * Notes when an endpoint last said anything to the streams that it carries for this daemon, and
 * knows what pauses are usual.
 *
 * <p>Not safe for use by several threads.
 */
final class SilenceDetector {

  /** Streams that have to be silent: one alone may wait for a long prompt of its own batch. */
  private static final int LEAST_STREAMS = 2;

  /**
   * A pause shorter than this is no silence, in milliseconds: a long prompt takes about as long.
   */
  private static final long LEAST_SILENCE_MS = 400;

  /** A pause of this many usual ones is a silence. */
  private static final double USUAL_PAUSES = 8;

  private static final double FIRST_PAUSE_MS = 50;
  private static final double LONGEST_PAUSE_MS = 2_000;

  private final LearnedTime pauseMs = new LearnedTime(FIRST_PAUSE_MS, 1, LONGEST_PAUSE_MS);
  private int streams;
  private long at;

  /** A stream has begun. */
  void begun(long now) {
    streams++;
    at = now;
  }

  /** A stream has said something. */
  void word(long now) {
    if (streams >= LEAST_STREAMS) {
      pauseMs.sample((double) (now - at));
    }
    at = now;
  }

  /** A stream has ended. */
  void ended() {
    streams--;
  }

  /** Returns whether the endpoint says nothing to any of several streams. */
  boolean isSilent(long now) {
    double silence = Math.max(LEAST_SILENCE_MS, USUAL_PAUSES * pauseMs.value());
    return streams >= LEAST_STREAMS && now - at >= silence;
  }
}
