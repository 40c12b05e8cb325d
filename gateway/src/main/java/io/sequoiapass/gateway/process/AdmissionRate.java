package io.sequoiapass.gateway.process;

/**
 * Estimates how many requests a service that is short of room can admit.
 *
 * <p>While requests queue, the rate at which they are served is the capacity. Admission follows it
 * and is adjusted by the wait: a longer queue is drained, a short one is refilled so that no room
 * stays idle. Answers the load of a long burst, during which the capacity itself changes as engines
 * are lost or return and as the mix of requests shifts. The methods are pure.
 */
final class AdmissionRate {

  /** Admission, relative to the capacity, while nothing waits. */
  private static final double MAX_FACTOR = 1.15;

  /** Least admission, relative to the capacity, so that a stalled queue is not starved. */
  private static final double MIN_FACTOR = 0.5;

  /**
   * Effect of the wait. Reports of the wait are up to 0.6 s old; a stronger correction would
   * oscillate, and refuse workspaces that ask for little each time.
   */
  private static final double GAIN = 0.15;

  /** Pressure beyond which even the most urgent requests will be late, and the queue is drained. */
  private static final double LATE_PRESSURE = 1.6;

  /** Further effect of the wait beyond that. */
  private static final double LATE_GAIN = 0.35;

  /** Part of the demand that is always admitted, since only served requests show the capacity. */
  private static final double PROBE_SHARE = 0.05;

  private AdmissionRate() {}

  /**
   * Returns the requests to admit per second.
   *
   * @param askedPerS requests that arrive per second
   * @param servedPerS requests that are served per second
   * @param pressure the expected wait, relative to what callers can bear
   */
  static double perSecond(double askedPerS, double servedPerS, double pressure) {
    double late = Math.max(0, pressure - LATE_PRESSURE);
    double factor = MAX_FACTOR - GAIN * pressure - LATE_GAIN * late;
    return Math.max(askedPerS * PROBE_SHARE, servedPerS * Math.max(MIN_FACTOR, factor));
  }
}
