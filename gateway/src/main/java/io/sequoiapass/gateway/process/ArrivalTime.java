package io.sequoiapass.gateway.process;

/**
 * Estimates how long items take to arrive, from whether they had arrived when they were expected.
 *
 * <pre>{@code
 * ArrivalTime time = new ArrivalTime(250);
 * double expectedMs = time.next();
 * time.inTime(expectedMs);   // it had arrived by then
 * time.early(expectedMs);    // or it had not
 * }</pre>
 *
 * <p>From time to time one item is expected slightly earlier than the others, as a trial. If it has
 * arrived, the estimate becomes shorter; if not, only this item was expected too early. The
 * estimate depends on observed ages only, never on other estimates, so it cannot grow by its own
 * feedback. Not safe for use by several threads.
 */
final class ArrivalTime {

  /** How much earlier a trial is expected, as a share of the estimate: first and largest value. */
  private static final double FIRST_TRIAL = 0.02;

  private static final double LARGEST_TRIAL = 0.3;

  /** Growth factor of the trial share after a successful trial. */
  private static final double TRIAL_GROWTH = 1.6;

  /** Number of items between two trials after the first failure. */
  private static final int MIN_REST = 24;

  /** Largest number of items between two trials after consecutive failures. */
  private static final int MAX_REST = 384;

  /**
   * Number of items expected at the estimate while a trial is pending; some trials have no outcome.
   */
  private static final int AWAITED = 16;

  /** How far the estimate is set beyond the age of a missing item, as a share. */
  private static final double BEYOND = 0.04;

  /**
   * Largest rise of the estimate for one missing item, as a share: some items are late for other
   * reasons.
   */
  private static final double LARGEST_RISE = 0.5;

  /** Smallest estimate, in milliseconds: the resolution of the clock. */
  private static final double SHORTEST_MS = 1;

  /**
   * Largest estimate, in milliseconds. Callers expect a response sooner, and refusals for another
   * reason than a late load must not delay all other requests.
   */
  private static final double LONGEST_MS = 1_500;

  /** Ages within this share of the estimate count as the estimate itself, not as a trial. */
  private static final double SAME = 0.005;

  private double millis;
  private double trial = FIRST_TRIAL;
  private int untilTrial;
  private int rest = MIN_REST;

  /**
   * Creates an estimator with an initial guess.
   *
   * @param guessMs the estimate until there are outcomes, in milliseconds
   */
  ArrivalTime(double guessMs) {
    this.millis = guessMs;
  }

  /** Returns the estimated time to arrival, in milliseconds. */
  double millis() {
    return millis;
  }

  /** Returns the time after which to expect the next item, in milliseconds; shorter for a trial. */
  double next() {
    if (untilTrial > 0) {
      untilTrial--;
      return millis;
    }
    untilTrial = AWAITED;
    return Math.max(SHORTEST_MS, millis * (1 - trial));
  }

  /**
   * Records that an item had arrived at an age.
   *
   * @param ageMs the age, in milliseconds
   */
  void inTime(double ageMs) {
    if (ageMs < millis * (1 - SAME)) {
      millis = Math.max(SHORTEST_MS, Math.max(ageMs, millis * (1 - LARGEST_TRIAL)));
      trial = Math.min(LARGEST_TRIAL, trial * TRIAL_GROWTH);
      untilTrial = 0;
      rest = MIN_REST;
    }
  }

  /**
   * Records that an item had not arrived at an age.
   *
   * @param ageMs the age, in milliseconds
   */
  void early(double ageMs) {
    boolean wasTrial = ageMs < millis * (1 - SAME);
    trial = FIRST_TRIAL;
    if (wasTrial) {
      untilTrial = rest;
      rest = Math.min(MAX_REST, 2 * rest);
      return;
    }
    untilTrial = MIN_REST;
    double least = Math.max(millis, ageMs) * (1 + BEYOND);
    millis = Math.min(LONGEST_MS, Math.min(least, millis * (1 + LARGEST_RISE)));
  }
}
