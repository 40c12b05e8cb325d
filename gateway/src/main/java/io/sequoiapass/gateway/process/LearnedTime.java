package io.sequoiapass.gateway.process;

/**
 * Exponential moving average of samples that are clamped to a range.
 *
 * <p>Not safe for use by several threads.
 */
final class LearnedTime {

  /** Weight of a sample; about twenty samples replace the previous average. */
  private static final double WEIGHT = 0.1;

  private final double least;
  private final double most;
  private double value;

  /**
   * Creates an average with an initial guess.
   *
   * @param guess the value until there are samples
   * @param least lower bound of a sample
   * @param most upper bound of a sample
   */
  LearnedTime(double guess, double least, double most) {
    this.value = guess;
    this.least = least;
    this.most = most;
  }

  void sample(double sample) {
    double bounded = Math.max(least, Math.min(most, sample));
    value += WEIGHT * (bounded - value);
  }

  double value() {
    return value;
  }
}
