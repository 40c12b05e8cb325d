package io.sequoiapass.gateway.process;

import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * What may have been sent to an endpoint by other daemons since their load was last reported.
 *
 * <p>The load it answers: many daemons that choose by the same outdated view. All of them would
 * send to the endpoint that was the least loaded, until the next report shows that it is the most
 * loaded. A random part of what is expected to have arrived meanwhile makes them choose different
 * ones, the more the older their view is. Not safe for use by several threads.
 */
final class LoadUncertainty {

  /** Initial estimate of the interval between two reports, in milliseconds. */
  private static final double FIRST_INTERVAL_MS = 150;

  private static final double MIN_INTERVAL_MS = 10;
  private static final double MAX_INTERVAL_MS = 1_000;

  /** Largest share of its time that an engine is assumed to read prompts. */
  private static final double MAX_PREFILL_SHARE = 0.95;

  private final MovingAverage intervalMs =
      new MovingAverage(FIRST_INTERVAL_MS, MIN_INTERVAL_MS, MAX_INTERVAL_MS);
  private final DoubleSupplier random;

  /**
   * Creates an estimate.
   *
   * @param random draws from 0 (inclusive) to 1 (exclusive)
   */
  LoadUncertainty(DoubleSupplier random) {
    this.random = random;
  }

  /** Records the time between two reports of the other daemons' load, in milliseconds. */
  void reported(double sinceLastMs) {
    intervalMs.sample(sinceLastMs);
  }

  /** Returns a random factor for one candidate; its mean is 1. */
  double draw() {
    return 2 * random.getAsDouble();
  }

  /**
   * Returns how long an engine reads prompts that arrived since the last report, on average, in
   * milliseconds.
   *
   * @param candidates the engines that could be chosen; all are equally likely to have been
   * @param tokensPerMs prompt reading speed, in tokens per millisecond
   */
  double prefillMs(List<Candidate> candidates, double tokensPerMs) {
    double recentTokens =
        candidates.stream().mapToLong(one -> one.load().recentTokens()).average().orElse(0);
    double share = Math.min(MAX_PREFILL_SHARE, recentTokens / (tokensPerMs * EngineCost.RECENT_MS));
    return share * intervalMs.value();
  }

  /**
   * Returns how many calls that arrived since the last report still run at an endpoint, on average.
   *
   * @param candidates the endpoints that could be chosen
   * @param serviceMs the mean time of a call, in milliseconds
   */
  double calls(List<Candidate> candidates, double serviceMs) {
    double running = candidates.stream().mapToInt(one -> one.load().running()).average().orElse(0);
    return running * Math.min(1, intervalMs.value() / serviceMs);
  }
}
