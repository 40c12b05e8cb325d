package io.sequoiapass.gateway.process;

/**
 * Learns how slow one engine is compared with the other engines of its service.
 *
 * <p>The estimate decays while the engine gets no requests, so that a recovered engine is used
 * again. Not safe for use by several threads.
 */
final class EndpointSpeedEstimator {

  /** Weight of one answer's beginning. */
  private static final double WEIGHT = 0.12;

  /** Bounds of one sample: a value beyond them has another cause. */
  private static final double LEAST = 0.25;

  private static final double MOST = 8;

  /** Time in which what was learned fades to a third without answers, in milliseconds. */
  private static final double FADES_MS = 5_000;

  private double logarithm;
  private long learnedAt;

  /**
   * Takes in the beginning of an answer.
   *
   * @param actualMs the time until it began, in milliseconds
   * @param expectedMs the time that an engine of usual speed would have taken, in milliseconds
   * @param now the time, in milliseconds
   */
  void sample(double actualMs, double expectedMs, long now) {
    double ratio = Math.max(LEAST, Math.min(MOST, actualMs / expectedMs));
    double known = faded(now);
    logarithm = known + WEIGHT * (Math.log(ratio) - known);
    learnedAt = now;
  }

  /** Returns how many times as long as usual the engine takes. */
  double value(long now) {
    return Math.exp(faded(now));
  }

  private double faded(long now) {
    return logarithm * Math.exp((learnedAt - now) / FADES_MS);
  }
}
