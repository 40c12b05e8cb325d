package io.sequoiapass.gateway.process;

/**
 * Estimates how long items take to arrive, from whether they had arrived when they were expected.
 *
 * <pre>{@code
 * ArrivalTimeEstimator time = new ArrivalTimeEstimator(250);
 * double expectedMs = time.nextMillis();
 * time.arrivedBy(expectedMs);   // it had arrived by then
 * time.missingAt(expectedMs);   // or it had not
 * }</pre>
 *
 * <p>From time to time one item is expected slightly earlier than the others, as a trial. If it has
 * arrived, the estimate becomes shorter; if not, only this item was expected too early. The
 * estimate depends on observed ages only, never on other estimates, so it cannot grow by its own
 * feedback. Not safe for use by several threads.
 */
final class ArrivalTimeEstimator {

  /** How much earlier a trial is expected, as a share of the estimate: first and largest value. */
  private static final double MIN_TRIAL = 0.02;

  private static final double MAX_TRIAL = 0.3;

  /** Growth factor of the trial share after a successful trial. */
  private static final double TRIAL_GROWTH = 1.6;

  /** Number of items between two trials after the first failure. */
  private static final int MIN_TRIAL_INTERVAL = 24;

  /** Largest number of items between two trials after consecutive failures. */
  private static final int MAX_TRIAL_INTERVAL = 384;

  /**
   * Number of items expected at the estimate while a trial is pending; some trials have no outcome.
   */
  private static final int PENDING_TRIAL_ITEMS = 16;

  /** How far the estimate is set beyond the age of a missing item, as a share. */
  private static final double RISE = 0.04;

  /**
   * Largest rise of the estimate for one missing item, as a share: some items are late for other
   * reasons.
   */
  private static final double MAX_RISE = 0.5;

  /** Smallest estimate, in milliseconds: the resolution of the clock. */
  private static final double MIN_MS = 1;

  /**
   * Largest estimate, in milliseconds. Callers expect a response sooner, and refusals for another
   * reason than a late load must not delay all other requests.
   */
  private static final double MAX_MS = 1_500;

  /** Ages within this share of the estimate count as the estimate itself, not as a trial. */
  private static final double AGE_TOLERANCE = 0.005;

  private double millis;
  private double trial = MIN_TRIAL;
  private int untilTrial;
  private int trialInterval = MIN_TRIAL_INTERVAL;

  /**
   * Creates an estimator with an initial guess.
   *
   * @param guessMs the estimate until there are outcomes, in milliseconds
   */
  ArrivalTimeEstimator(double guessMs) {
    this.millis = guessMs;
  }

  /** Returns the estimated time to arrival, in milliseconds. */
  double millis() {
    return millis;
  }

  /** Returns the time after which to expect the next item, in milliseconds; shorter for a trial. */
  double nextMillis() {
    if (untilTrial > 0) {
      untilTrial--;
      return millis;
    }
    untilTrial = PENDING_TRIAL_ITEMS;
    return Math.max(MIN_MS, millis * (1 - trial));
  }

  /**
   * Records that an item had arrived at an age.
   *
   * @param ageMs the age, in milliseconds
   */
  void arrivedBy(double ageMs) {
    if (ageMs < millis * (1 - AGE_TOLERANCE)) {
      millis = Math.max(MIN_MS, Math.max(ageMs, millis * (1 - MAX_TRIAL)));
      trial = Math.min(MAX_TRIAL, trial * TRIAL_GROWTH);
      untilTrial = 0;
      trialInterval = MIN_TRIAL_INTERVAL;
    }
  }

  /**
   * Records that an item had not arrived at an age.
   *
   * @param ageMs the age, in milliseconds
   */
  void missingAt(double ageMs) {
    boolean wasTrial = ageMs < millis * (1 - AGE_TOLERANCE);
    trial = MIN_TRIAL;
    if (wasTrial) {
      untilTrial = trialInterval;
      trialInterval = Math.min(MAX_TRIAL_INTERVAL, 2 * trialInterval);
      return;
    }
    untilTrial = MIN_TRIAL_INTERVAL;
    double raised = Math.max(millis, ageMs) * (1 + RISE);
    millis = Math.min(MAX_MS, Math.min(raised, millis * (1 + MAX_RISE)));
  }
}
