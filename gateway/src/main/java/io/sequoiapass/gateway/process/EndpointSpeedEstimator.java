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
  private static final double MIN_RATIO = 0.25;

  private static final double MAX_RATIO = 8;

  /**
   * Time constant of the decay without samples, in milliseconds: the logarithm falls to about a
   * third.
   */
  private static final double DECAY_MS = 5_000;

  private double logarithm;
  private double certainty;
  private long sampledAt;

  /**
   * Records the start of a response.
   *
   * @param actualMs the time until it started, in milliseconds
   * @param expectedMs the time expected of an engine of average speed, in milliseconds
   * @param now the time, in milliseconds
   */
  void sample(double actualMs, double expectedMs, long now) {
    double ratio = Math.max(MIN_RATIO, Math.min(MAX_RATIO, actualMs / expectedMs));
    double known = decayed(now);
    logarithm = known + WEIGHT * (Math.log(ratio) - known);
    certainty = certainty * decay(now) + WEIGHT * (1 - certainty * decay(now));
    sampledAt = now;
  }

  /**
   * Returns the engine's response time relative to the average.
   *
   * @param assumed the value without samples; many recent ones replace it
   * @param now the time, in milliseconds
   */
  double value(double assumed, long now) {
    return Math.exp(decayed(now) + (1 - certainty * decay(now)) * Math.log(assumed));
  }

  private double decayed(long now) {
    return logarithm * decay(now);
  }

  private double decay(long now) {
    return Math.exp((sampledAt - now) / DECAY_MS);
  }
}
