package io.sequoiapass.gateway.process;

/**
 * Exponential moving average of samples that are clamped to a range.
 *
 * <p>Not safe for use by several threads.
 */
final class MovingAverage {

  /** Weight of a sample; about twenty samples replace the previous average. */
  private static final double WEIGHT = 0.1;

  private final double min;
  private final double max;
  private double value;

  /**
   * Creates an average with an initial guess.
   *
   * @param guess the value until there are samples
   * @param min lower bound of a sample
   * @param max upper bound of a sample
   */
  MovingAverage(double guess, double min, double max) {
    this.value = guess;
    this.min = min;
    this.max = max;
  }

  void sample(double sample) {
    double bounded = Math.max(min, Math.min(max, sample));
    value += WEIGHT * (bounded - value);
  }

  double value() {
    return value;
  }
}
