package io.sequoiapass.coordination.request;

import java.util.Arrays;
import java.util.Optional;

/**
 * Sliding-window estimator of the 95th percentile of the time to first token, used as the delay of
 * hedged requests.
 *
 * <pre>{@code
 * times.add(millisToFirstToken);
 * RequestAttempts attempts = new RequestAttempts(spec, settings, budget, times.hedging());
 * }</pre>
 *
 * <p>Under an overload all times increase, and the delay with them, so that hedging does not add
 * load. Not safe for use by several threads.
 */
public final class FirstTokenTimes {

  /** Large enough that one outlier barely moves the 95th percentile. */
  private static final int WINDOW_SIZE = 128;

  /** Fewer samples give no usable percentile, so nothing is hedged. */
  private static final int MIN_SAMPLES = 32;

  private static final double PERCENTILE = 0.95;

  /** A hedge sent within two engine steps would have no benefit. */
  private static final long MIN_DELAY_MILLIS = 10;

  private final long[] samples = new long[WINDOW_SIZE];
  private long sampleCount;
  private long delayMillis;

  /**
   * Adds a sample.
   *
   * @param millis time from the start of the first attempt to the first token, in milliseconds
   */
  public void add(long millis) {
    samples[(int) (sampleCount % WINDOW_SIZE)] = millis;
    sampleCount++;
    if (sampleCount % MIN_SAMPLES == 0) {
      int count = (int) Math.min(sampleCount, WINDOW_SIZE);
      long[] sorted = Arrays.copyOf(samples, count);
      Arrays.sort(sorted);
      delayMillis = Math.max(MIN_DELAY_MILLIS, sorted[(int) (PERCENTILE * (count - 1))]);
    }
  }

  /** Returns the hedging policy, or empty until there are enough samples. */
  public Optional<HedgePolicy> hedging() {
    return delayMillis == 0 ? Optional.empty() : Optional.of(new HedgePolicy(delayMillis));
  }
}
