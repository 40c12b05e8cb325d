package io.sequoiapass.testbed.load;

import java.util.Arrays;
import java.util.Random;

/**
 * Zipf distribution: the probability of rank k is proportional to 1 / (k + 1) to the power of the
 * skew.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class ZipfDistribution {

  private final double[] cumulative;

  /**
   * Makes a distribution.
   *
   * @param size number of ranks
   * @param skew exponent; 0 gives a uniform distribution
   */
  public ZipfDistribution(int size, double skew) {
    if (size < 1) {
      throw new IllegalArgumentException("size must be positive: " + size);
    }
    if (!(skew >= 0)) {
      throw new IllegalArgumentException("skew must not be negative: " + skew);
    }
    cumulative = new double[size];
    double sum = 0;
    for (int rank = 0; rank < size; rank++) {
      sum += Math.pow(rank + 1, -skew);
      cumulative[rank] = sum;
    }
  }

  /**
   * Draws a rank, from 0.
   *
   * @param random source of random numbers
   */
  public int next(Random random) {
    double drawn = random.nextDouble() * cumulative[cumulative.length - 1];
    int found = Arrays.binarySearch(cumulative, drawn);
    return Math.min(cumulative.length - 1, found < 0 ? -found - 1 : found);
  }
}
