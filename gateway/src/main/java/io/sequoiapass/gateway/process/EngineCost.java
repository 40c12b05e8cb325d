package io.sequoiapass.gateway.process;

/**
 * Cost of a request at an engine, to itself and to the requests running there, in milliseconds.
 *
 * <p>An engine reads prompts in chunks between the tokens of other requests, so each prompt delays
 * every response that is being generated there. The methods are pure.
 */
final class EngineCost {

  /** Time constant of the decaying sum of an engine's recent prompt tokens, in milliseconds. */
  static final double RECENT_MS = 2_000;

  /**
   * What one running request adds to the wait, in milliseconds. Its tokens are generated in the
   * same steps: each request makes a step a hundredth of a millisecond longer, and its context adds
   * some more. Summed over the steps of a prefill this is about 1.5 ms.
   */
  private static final double RUNNING_REQUEST_MS = 1.5;

  /**
   * Weight of the delay that a prompt causes for one running response. Most responses have time to
   * spare; only the few that have none become late.
   */
  private static final double INTERFERENCE_WEIGHT = 0.12;

  /** Weight of the time that a response takes after its first token, for the same reason. */
  private static final double GENERATION_WEIGHT = 0.15;

  /** Time per token while no prompt is being read, in milliseconds: one step. */
  private static final double STEP_MS = 6;

  /**
   * Share of the prefill time that is lost for token generation. A step that includes a prompt
   * chunk still generates one token, but takes about ten times as long.
   */
  private static final double PREFILL_SLOWDOWN = 0.9;

  /**
   * Upper bound of the prefill share: an engine that always reads prompts still generates tokens.
   */
  private static final double MAX_PREFILL_SHARE = 0.95;

  private EngineCost() {}

  /** Returns the time to the first token. */
  static double firstTokenMs(Load load, long uncachedTokens, double tokensPerMs) {
    return (load.prefillTokens() + uncachedTokens) / tokensPerMs
        + load.running() * RUNNING_REQUEST_MS;
  }

  /** Returns the total cost of a request. */
  static double ms(Load load, long uncachedTokens, long outputTokens, double tokensPerMs) {
    double prefillShare = load.recentTokens() / (tokensPerMs * RECENT_MS);
    double tokenMs = STEP_MS / (1 - PREFILL_SLOWDOWN * Math.min(MAX_PREFILL_SHARE, prefillShare));
    return firstTokenMs(load, uncachedTokens, tokensPerMs)
        + INTERFERENCE_WEIGHT * load.running() * uncachedTokens / tokensPerMs
        + GENERATION_WEIGHT * outputTokens * tokenMs;
  }
}
