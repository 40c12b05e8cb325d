package io.sequoiapass.gateway.process;

/**
 * Estimates a duration that most of the next ones do not exceed, as TCP estimates its
 * retransmission time-out (RFC 6298): by the mean and the mean deviation.
 *
 * <p>The load it answers: the requests of one route, whose durations differ by their size and by
 * the load of their endpoints.
 *
 * <p>Safe for use by several threads.
 */
final class DurationEstimator {

  private static final double MEAN_WEIGHT = 0.125;
  private static final double DEVIATION_WEIGHT = 0.25;

  /** More would reject many requests that end in time, each of which costs its caller a retry. */
  private static final double DEVIATIONS = 1;

  private boolean hasSamples;
  private double meanMs;
  private double deviationMs;

  synchronized void add(long ms) {
    if (!hasSamples) {
      hasSamples = true;
      meanMs = ms;
      deviationMs = ms / 2.0;
      return;
    }
    deviationMs += DEVIATION_WEIGHT * (Math.abs(ms - meanMs) - deviationMs);
    meanMs += MEAN_WEIGHT * (ms - meanMs);
  }

  /** Returns the estimate, in milliseconds; 0 before the first sample. */
  synchronized long mostMs() {
    return Math.round(meanMs + DEVIATIONS * deviationMs);
  }
}
