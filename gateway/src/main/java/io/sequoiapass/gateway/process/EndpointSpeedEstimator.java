package io.sequoiapass.gateway.process;

/**
 * Estimates how slow one engine is compared with the other engines of its service.
 *
 * <p>The estimate decays while the engine gets no requests, so that a recovered engine is used
 * again. Not safe for use by several threads.
 */
final class EndpointSpeedEstimator {

  /** Weight of one sample. */
  private static final double WEIGHT = 0.12;

  /** Bounds of one sample; values beyond them have other causes. */
  private static final double LEAST = 0.25;

  private static final double MOST = 8;

  /**
   * Time constant of the decay without samples, in milliseconds: the logarithm falls to about a
   * third.
   */
  private static final double FADES_MS = 5_000;

  private double logarithm;
  private long learnedAt;

  /**
   * Records the start of a response.
   *
   * @param actualMs the time until it started, in milliseconds
   * @param expectedMs the time expected of an engine of average speed, in milliseconds
   * @param now the time, in milliseconds
   */
  void sample(double actualMs, double expectedMs, long now) {
    double ratio = Math.max(LEAST, Math.min(MOST, actualMs / expectedMs));
    double known = faded(now);
    logarithm = known + WEIGHT * (Math.log(ratio) - known);
    learnedAt = now;
  }

  /** Returns the engine's response time relative to the average. */
  double value(long now) {
    return Math.exp(faded(now));
  }

  private double faded(long now) {
    return logarithm * Math.exp((learnedAt - now) / FADES_MS);
  }
}
