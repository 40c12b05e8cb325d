package io.sequoiapass.coordination.request;

/** Estimates how many requests leave a queue each second; not safe for use by several threads. */
final class DrainRate {

  /**
   * Long enough to average over many requests, short enough to adapt to the loss of an endpoint.
   */
  private static final double TIME_CONSTANT_MILLIS = 3_000;

  private static final double MIN_PER_SECOND = 0.1;

  private double weightedCount;
  private long updatedAt;

  DrainRate(double initialPerSecond, long nowMillis) {
    this.weightedCount = initialPerSecond * TIME_CONSTANT_MILLIS / 1_000;
    this.updatedAt = nowMillis;
  }

  /** Records that a request left the queue to be served. */
  void served(long nowMillis) {
    decay(nowMillis);
    weightedCount++;
  }

  /**
   * Skips the decay for the time in which the queue was empty: an empty queue drains nothing, which
   * is no evidence of the possible rate.
   */
  void idle(long nowMillis) {
    updatedAt = nowMillis;
  }

  double perSecond(long nowMillis) {
    decay(nowMillis);
    return Math.max(MIN_PER_SECOND, weightedCount * 1_000 / TIME_CONSTANT_MILLIS);
  }

  private void decay(long nowMillis) {
    weightedCount *= Math.exp(-(nowMillis - updatedAt) / TIME_CONSTANT_MILLIS);
    updatedAt = nowMillis;
  }
}
