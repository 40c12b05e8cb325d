package io.sequoiapass.gateway.process;

/**
 * Predicts a demand for the next second from its value and slope over the last seconds.
 *
 * <p>Answers demand that swings by half within 15 s and whose figures are up to half a second old.
 * The difference of two moving averages gives the slope. Not safe for use by several threads.
 */
final class DemandTrend {

  /** Time constant of the value, in milliseconds: evens out requests that begin and end. */
  private static final double FAST_MS = 500;

  /** Time constant of the average that the slope refers to, in milliseconds. */
  private static final double SLOW_MS = 2_000;

  /** How far ahead the prediction is, in milliseconds. */
  private static final double AHEAD_MS = 500;

  /** Largest part of the value that the slope adds or subtracts; a jump is not a slope. */
  private static final double MAX_CHANGE = 0.25;

  private double fast;
  private double slow;
  private long updatedAt;
  private boolean started;

  /**
   * Adds a value.
   *
   * @param value the demand
   * @param now the time, in milliseconds
   */
  void update(double value, long now) {
    double elapsedMs = Math.max(0, now - updatedAt);
    fast = started ? value + (fast - value) * Math.exp(-elapsedMs / FAST_MS) : value;
    slow = started ? value + (slow - value) * Math.exp(-elapsedMs / SLOW_MS) : value;
    started = true;
    updatedAt = now;
  }

  /** Returns the predicted demand. */
  double predicted() {
    double change = (fast - slow) / (SLOW_MS - FAST_MS) * (FAST_MS + AHEAD_MS);
    double most = fast * MAX_CHANGE;
    return fast + Math.max(-most, Math.min(most, change));
  }
}
