package io.sequoiapass.gateway.process;

/**
 * What requests ask of one endpoint at a moment.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param running requests that are there
 * @param prefillTokens tokens of prompts of which no answer has begun
 * @param memoryTokens memory that the requests take, in tokens
 * @param recentTokens tokens of prompts sent there lately, older ones counting less
 */
public record Load(int running, long prefillTokens, long memoryTokens, long recentTokens) {

  /** Nothing. */
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
   * Returns what is left of this load without another; never below nothing.
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
