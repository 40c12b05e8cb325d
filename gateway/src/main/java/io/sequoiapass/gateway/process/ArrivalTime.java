package io.sequoiapass.gateway.process;

/**
 * Learns how long something takes from whether it had arrived when it was expected.
 *
 * <pre>{@code
 * ArrivalTime time = new ArrivalTime(250);
 * double expectedMs = time.next();
 * time.inTime(expectedMs);   // it had arrived
 * time.early(expectedMs);    // or it had not
 * }</pre>
 *
 * <p>One item at a time is expected a little sooner than the others, as a trial. If it has arrived,
 * the estimate becomes shorter; if not, only this item was expected too soon. The estimate depends
 * on observed ages only, never on other estimates. Not safe for use by several threads.
 */
final class ArrivalTime {

  /** How much sooner a trial is expected, as a share, at first and at the most. */
  private static final double FIRST_TRIAL = 0.02;

  private static final double LARGEST_TRIAL = 0.3;

  /** What a trial that succeeded makes of the next one. */
  private static final double TRIAL_GROWTH = 1.6;

  /** Number of items between two trials after a failure, at first. */
  private static final int MIN_REST = 24;

  /** Number of items between two trials after trials that failed one after the other, at most. */
  private static final int MAX_REST = 384;

  /** Things that are expected as usual while a trial's outcome is awaited; some have none. */
  private static final int AWAITED = 16;

  /** How much longer than an age at which it was missing it is expected, as a share. */
  private static final double BEYOND = 0.04;

  /** Most that one missing thing adds, as a share: some are late for reasons of their own. */
  private static final double LARGEST_RISE = 0.5;

  /** Shortest time that is expected, in milliseconds: the clock's own unit. */
  private static final double SHORTEST_MS = 1;

  /**
   * Longest time that is expected, in milliseconds: callers want an answer sooner, and what is
   * refused for another reason than its time must not make all others wait.
   */
  private static final double LONGEST_MS = 1_500;

  /** Ages closer than this to the estimate are the estimate's own, as a share. */
  private static final double SAME = 0.005;

  private double millis;
  private double trial = FIRST_TRIAL;
  private int untilTrial;
  private int rest = MIN_REST;

  /**
   * Begins with a guess.
   *
   * @param guessMs the time until there are outcomes, in milliseconds
   */
  ArrivalTime(double guessMs) {
    this.millis = guessMs;
  }

  /** Returns after how long things are there, in milliseconds. */
  double millis() {
    return millis;
  }

  /** Returns after how long the next thing is to be expected, in milliseconds. */
  double next() {
    if (untilTrial > 0) {
      untilTrial--;
      return millis;
    }
    untilTrial = AWAITED;
    return Math.max(SHORTEST_MS, millis * (1 - trial));
  }

  /**
   * Notes that something was there when it was expected.
   *
   * @param ageMs after what time, in milliseconds
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
   * Notes that something was not there.
   *
   * @param ageMs after what time, in milliseconds
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
