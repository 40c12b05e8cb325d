package io.sequoiapass.gateway.process;

/**
 * The load of one endpoint by requests at one moment.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param running number of requests there
 * @param prefillTokens prompt tokens of requests whose response has not started
 * @param memoryTokens memory used by the requests, in tokens
 * @param recentTokens decaying sum of the prompt tokens sent there recently
 */
public record Load(int running, long prefillTokens, long memoryTokens, long recentTokens) {

  /** No load. */
  public static final Load NONE = new Load(0, 0, 0, 0);

  /**
   * Returns the sum of two loads.
   *
   * @param other the other load
   */
  public Load plus(Load other) {
    return new Load(
        running + other.running,
        prefillTokens + other.prefillTokens,
        memoryTokens + other.memoryTokens,
        recentTokens + other.recentTokens);
  }

  /**
   * Returns the difference of two loads; no component is negative.
   *
   * @param other the other load
   */
  public Load minus(Load other) {
    return new Load(
        Math.max(0, running - other.running),
        Math.max(0, prefillTokens - other.prefillTokens),
        Math.max(0, memoryTokens - other.memoryTokens),
        Math.max(0, recentTokens - other.recentTokens));
  }
}
