package io.sequoiapass.coordination.request;

/** Estimates how many requests leave a queue each second; not safe for use by several threads. */
final class DrainRate {

  /** Long enough to count many requests, short enough to follow a lost endpoint. */
  private static final double MEMORY_MILLIS = 3_000;

  private static final double LEAST_PER_SECOND = 0.1;

  private double weightedCount;
  private long at;

  DrainRate(double initialPerSecond, long nowMillis) {
    this.weightedCount = initialPerSecond * MEMORY_MILLIS / 1_000;
    this.at = nowMillis;
  }

  /** Notes that one request left to be served. */
  void served(long nowMillis) {
    decay(nowMillis);
    weightedCount++;
  }

  /**
   * Forgets with time, but only while something waited: an empty queue drains nothing, and that
   * says nothing about how fast it could.
   */
  void idle(long nowMillis) {
    at = nowMillis;
  }

  double perSecond(long nowMillis) {
    decay(nowMillis);
    return Math.max(LEAST_PER_SECOND, weightedCount * 1_000 / MEMORY_MILLIS);
  }

  private void decay(long nowMillis) {
    weightedCount *= Math.exp(-(nowMillis - at) / MEMORY_MILLIS);
    at = nowMillis;
  }
}
