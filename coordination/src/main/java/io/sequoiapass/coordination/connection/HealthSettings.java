package io.sequoiapass.coordination.connection;

/**
 * Holds the limits of {@link EndpointHealth}.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param failuresToOpen failures in a row that open a circuit; one may be chance
 * @param openMillis how long the first opening lasts; each further one lasts twice as long
 * @param maxOpenMillis the longest opening: a mended endpoint is back after this time at the latest
 * @param windowMillis over which time outcomes are compared between endpoints
 * @param minSamples outcomes in the window below which an endpoint is not compared
 * @param outlierExcess by how much the failure share may exceed that of all endpoints together
 * @param maxEjectedShare share of endpoints that may be left out as outliers at once: beyond it the
 *     cause is likelier to be common to all, and leaving them out would only overload the rest
 */
public record HealthSettings(
    int failuresToOpen,
    long openMillis,
    long maxOpenMillis,
    long windowMillis,
    int minSamples,
    double outlierExcess,
    double maxEjectedShare) {

  /** Suits some 30 endpoints an owner. */
  public static final HealthSettings DEFAULT =
      new HealthSettings(3, 500, 8_000, 10_000, 10, 0.3, 0.34);

  /** Checks the limits. */
  public HealthSettings {
    if (failuresToOpen < 1 || openMillis < 1 || maxOpenMillis < openMillis || windowMillis < 1) {
      throw new IllegalArgumentException(
          "failures %d, open %d to %d ms, window %d ms"
              .formatted(failuresToOpen, openMillis, maxOpenMillis, windowMillis));
    }
    if (minSamples < 1 || !(outlierExcess > 0 && outlierExcess < 1)) {
      throw new IllegalArgumentException(
          "samples %d, excess %s".formatted(minSamples, outlierExcess));
    }
    if (!(maxEjectedShare >= 0 && maxEjectedShare < 1)) {
      throw new IllegalArgumentException("share to eject: " + maxEjectedShare);
    }
  }
}
