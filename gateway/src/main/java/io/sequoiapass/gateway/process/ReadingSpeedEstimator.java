package io.sequoiapass.gateway.process;

/**
 * Estimates how fast an engine of average speed reads a prompt that it reads alone.
 *
 * <p>The load it answers: many daemons before the same engines. The time to a first event includes
 * the prompts of other daemons that this one does not know of, so an average over all requests
 * shows a speed that falls as the load rises. Only requests count that were sent to an engine
 * without known unread prompts, and a sample that is far off moves the estimate no further than one
 * that is somewhat off: it met an unknown prompt, or its own was cached. Not safe for use by
 * several threads.
 */
final class ReadingSpeedEstimator {

  /** Weight of a sample once there are many. */
  private static final double WEIGHT = 0.05;

  /** Largest ratio of a sample to the estimate that counts, once there are some. */
  private static final double MAX_RATIO = 1.5;

  /** Number of first samples that are averaged as they are. */
  private static final int FIRST_SAMPLES = 4;

  private double logarithm;
  private int samples;

  /**
   * Creates an estimate.
   *
   * @param guess the speed until there are samples, in tokens per millisecond
   */
  ReadingSpeedEstimator(double guess) {
    logarithm = Math.log(guess);
  }

  /**
   * Adds one prompt.
   *
   * @param tokens its length without cached parts, in tokens; positive
   * @param readingMs how long it took, in milliseconds; positive
   * @param slowdown the engine's response time relative to the average
   */
  void sample(long tokens, double readingMs, double slowdown) {
    double deviation = Math.log(tokens / readingMs * slowdown) - logarithm;
    double limit = samples < FIRST_SAMPLES ? Double.MAX_VALUE : Math.log(MAX_RATIO);
    double bounded = Math.max(-limit, Math.min(limit, deviation));
    logarithm += Math.max(WEIGHT, 1.0 / (samples + 1)) * bounded;
    samples++;
  }

  /** Returns the speed, in tokens per millisecond. */
  double tokensPerMs() {
    return Math.exp(logarithm);
  }
}
