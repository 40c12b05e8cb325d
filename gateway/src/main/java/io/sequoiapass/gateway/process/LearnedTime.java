package io.sequoiapass.gateway.process;

/**
 * Learns a usual value from samples, as a moving average that forgets.
 *
 * <p>Not safe for use by several threads.
 */
final class LearnedTime {

  /** Weight of a sample; some twenty samples replace what was learned before. */
  private static final double WEIGHT = 0.1;

  private final double least;
  private final double most;
  private double value;

  /**
   * Begins with a guess.
   *
   * @param guess the value until there are samples
   * @param least the least value that is believed
   * @param most the largest value that is believed
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
