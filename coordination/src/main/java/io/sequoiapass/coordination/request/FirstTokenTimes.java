package io.sequoiapass.coordination.request;

import java.util.Arrays;
import java.util.Optional;

/**
 * Learns after which time most requests have had their first token, for the hedges of others.
 *
 * <pre>{@code
 * times.add(millisToFirstToken);
 * RequestAttempts attempts = new RequestAttempts(spec, settings, budget, times.hedging());
 * }</pre>
 *
 * <p>Under an overload all times grow and the delay with them, so that hedges do not add to it. Not
 * safe for use by several threads.
 */
public final class FirstTokenTimes {

  /** Enough for a 95th percentile that one odd request does not move far. */
  private static final int KEPT = 128;

  /** With fewer there is no telling what is usual, so nothing is hedged. */
  private static final int LEAST = 32;

  private static final double USUAL = 0.95;

  /** Below two engine steps a hedge would be sent for nothing. */
  private static final long LEAST_DELAY_MILLIS = 10;

  private final long[] kept = new long[KEPT];
  private long added;
  private long delayMillis;

  /**
   * Notes how long one took.
   *
   * @param millis from the first attempt's start to the first token, in milliseconds
   */
  public void add(long millis) {
    kept[(int) (added % KEPT)] = millis;
    added++;
    if (added % LEAST == 0) {
      int count = (int) Math.min(added, KEPT);
      long[] sorted = Arrays.copyOf(kept, count);
      Arrays.sort(sorted);
      delayMillis = Math.max(LEAST_DELAY_MILLIS, sorted[(int) (USUAL * (count - 1))]);
    }
  }

  /** Returns when to hedge, or empty while too little is known. */
  public Optional<HedgePolicy> hedging() {
    return delayMillis == 0 ? Optional.empty() : Optional.of(new HedgePolicy(delayMillis));
  }
}
