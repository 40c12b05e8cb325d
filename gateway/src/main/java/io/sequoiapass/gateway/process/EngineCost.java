package io.sequoiapass.gateway.process;

/**
 * Cost of a request at an engine, for itself and for the requests that run there, in milliseconds.
 *
 * <p>An engine reads prompts in chunks between the tokens of other requests, so each prompt delays
 * every response that is being generated there. The methods are pure.
 */
final class EngineCost {

  /** Time over which the recent prompts of an engine are looked at, in milliseconds. */
  static final double RECENT_MS = 2_000;

  /**
   * What one running request adds to the wait, in milliseconds: its tokens are made in the same
   * steps. A step grows by a hundredth of a millisecond for each request and some more for its
   * context; over the steps of a prefill that comes to about this much.
   */
  private static final double RUNNING_MS = 1.5;

  /**
   * Weight of the time by which a prompt holds up one running answer: most answers have time to
   * spare, and the few that have not are late by it.
   */
  private static final double HARM = 0.12;

  /** Weight of the time that an answer takes after its beginning, for the same reason. */
  private static final double ANSWER = 0.15;

  /** Time of a token when no prompt is being read, in milliseconds: one step. */
  private static final double STEP_MS = 6;

  /**
   * Share of the time that reading takes from steps: a step beside a piece of a prompt makes one
   * token, too, but takes about ten times as long.
   */
  private static final double SLOWED = 0.9;

  /** An engine that reads all the time still makes tokens. */
  private static final double MOST_READING = 0.95;

  private EngineCost() {}

  /** Returns the time until the answer begins. */
  static double beginMs(Load load, long unreadTokens, double tokensPerMs) {
    return (load.prefillTokens() + unreadTokens) / tokensPerMs + load.running() * RUNNING_MS;
  }

  /** Returns the whole cost of a request. */
  static double ms(Load load, long unreadTokens, long outputTokens, double tokensPerMs) {
    double reading = load.recentTokens() / (tokensPerMs * RECENT_MS);
    double tokenMs = STEP_MS / (1 - SLOWED * Math.min(MOST_READING, reading));
    return beginMs(load, unreadTokens, tokensPerMs)
        + HARM * load.running() * unreadTokens / tokensPerMs
        + ANSWER * outputTokens * tokenMs;
  }
}
