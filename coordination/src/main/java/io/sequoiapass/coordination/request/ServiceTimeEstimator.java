package io.sequoiapass.coordination.request;

/**
 * Estimates an upper bound of service times from recent requests.
 *
 * <pre>{@code
 * time.served(tokens, tookMillis);
 * long millis = time.expectedMillis(otherTokens);
 * }</pre>
 *
 * <p>The estimate is the mean in proportion to the work, plus twice the mean deviation, as in the
 * retransmission timer of TCP. A full queue starts each request at the last possible moment; with
 * the mean alone every second one would end just after its deadline, and its work would be wasted.
 * Not safe for use by several threads.
 */
final class ServiceTimeEstimator {

  /** Decay factor per sample: an average over about the last twenty. */
  private static final double DECAY = 0.95;

  private static final double DEVIATION_FACTOR = 2;

  private double weightedCount;
  private double weightedCost;
  private double weightedMillis;
  private double meanDeviation;

  /**
   * Records a request that was served completely.
   *
   * @param servedCost its amount of work
   * @param tookMillis its service time in milliseconds
   */
  void served(double servedCost, long tookMillis) {
    if (weightedCost > 0) {
      meanDeviation =
          meanDeviation * DECAY + Math.abs(tookMillis - meanMillis(servedCost)) * (1 - DECAY);
    }
    weightedCount = weightedCount * DECAY + 1;
    weightedCost = weightedCost * DECAY + servedCost;
    weightedMillis = weightedMillis * DECAY + tookMillis;
  }

  /**
   * Returns the estimated service time in milliseconds; 0 without samples.
   *
   * @param ofCost the amount of work
   */
  long expectedMillis(double ofCost) {
    return weightedCost == 0
        ? 0
        : Math.round(meanMillis(ofCost) + DEVIATION_FACTOR * meanDeviation);
  }

  /**
   * Work above the average cost is estimated at the average. The time of a short request is mostly
   * fixed overhead; scaled up to the tokens of a long request it would refuse work that has enough
   * time.
   */
  private double meanMillis(double ofCost) {
    return Math.min(ofCost, weightedCost / weightedCount) * weightedMillis / weightedCost;
  }
}
