package io.sequoiapass.coordination.connection;

/**
 * Settings of {@link EndpointHealth}.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param failuresToOpen consecutive failures that open a circuit; a single failure may be chance
 * @param openMillis length of the first open period, in milliseconds; each further one is twice as
 *     long
 * @param maxOpenMillis upper bound of the open period, in milliseconds; a recovered endpoint is
 *     used again after this time at the latest
 * @param windowMillis window over which outcomes are compared between endpoints, in milliseconds
 * @param minSamples minimum outcomes in the window for an endpoint to be compared
 * @param outlierExcess by how much an endpoint's failure rate may exceed the rate of all endpoints
 *     together
 * @param maxEjectedShare maximum share of endpoints ejected at a time; beyond it a common cause is
 *     more likely, and ejecting more would overload the rest
 */
public record HealthSettings(
    int failuresToOpen,
    long openMillis,
    long maxOpenMillis,
    long windowMillis,
    int minSamples,
    double outlierExcess,
    double maxEjectedShare) {

  /** Defaults for about 30 endpoints per owner. */
  public static final HealthSettings DEFAULT =
      new HealthSettings(3, 500, 8_000, 10_000, 10, 0.3, 0.34);

  /** Validates the settings. */
  public HealthSettings {
    if (failuresToOpen < 1 || openMillis < 1 || maxOpenMillis < openMillis || windowMillis < 1) {
      throw new IllegalArgumentException(
          "failuresToOpen %d, open period %d to %d ms, window %d ms: out of range"
              .formatted(failuresToOpen, openMillis, maxOpenMillis, windowMillis));
    }
    if (minSamples < 1 || !(outlierExcess > 0 && outlierExcess < 1)) {
      throw new IllegalArgumentException(
          "minSamples %d or outlierExcess %s out of range".formatted(minSamples, outlierExcess));
    }
    if (!(maxEjectedShare >= 0 && maxEjectedShare < 1)) {
      throw new IllegalArgumentException(
          "maxEjectedShare must be at least 0 and below 1: " + maxEjectedShare);
    }
  }
}
