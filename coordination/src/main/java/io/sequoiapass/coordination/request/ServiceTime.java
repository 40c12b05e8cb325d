package io.sequoiapass.coordination.request;

/**
 * Estimates how long serving takes at most, as a rule, from what was served lately.
 *
 * <pre>{@code
 * time.served(tokens, tookMillis);
 * long millis = time.expectedMillis(otherTokens);
 * }</pre>
 *
 * <p>In proportion to the work, and with twice the usual error on top, as a timer of TCP is set: a
 * full queue starts each request at its last moment, and with the mean alone every second one would
 * end just after its deadline, served in vain. Not safe for use by several threads.
 */
final class ServiceTime {

  /** Weight of what was known, at each newer one: some twenty of the last count. */
  private static final double MEMORY = 0.95;

  private static final double ERRORS = 2;

  private double count;
  private double cost;
  private double millis;
  private double error;

  /**
   * Notes that a request was served whole.
   *
   * @param servedCost the work it stood for
   * @param tookMillis how long it took
   */
  void served(double servedCost, long tookMillis) {
    if (cost > 0) {
      error = error * MEMORY + Math.abs(tookMillis - mean(servedCost)) * (1 - MEMORY);
    }
    count = count * MEMORY + 1;
    cost = cost * MEMORY + servedCost;
    millis = millis * MEMORY + tookMillis;
  }

  /**
   * Returns how long a request will take; 0 while nothing is known.
   *
   * @param ofCost the work it stands for
   */
  long expectedMillis(double ofCost) {
    return cost == 0 ? 0 : Math.round(mean(ofCost) + ERRORS * error);
  }

  /**
   * Work larger than the usual counts as usual: a short request takes mostly what each takes once,
   * and multiplied by the tokens of a long one that would refuse work that has all the time it
   * needs.
   */
  private double mean(double ofCost) {
    return Math.min(ofCost, cost / count) * millis / cost;
  }
}
