package io.sequoiapass.daemon.process.placement;

/**
 * Times and bounds of the placement, each determined by the weight store or by the fleet's size.
 *
 * <pre>{@code
 * PlacementSettings settings = PlacementSettings.defaults();
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param demandHalfLifeMs half-life of a request in an adapter's demand: long enough that adapters
 *     that just fit into the slots are requested twice within it
 * @param hotDemand demand, in requests of about the last half-life, from which an adapter is hot if
 *     stalls and batches have equal weight: it then keeps a stream busy for a large part of the
 *     time
 * @param loadAloneMs duration of a load when the weight store serves no other
 * @param hungAfterMs timeout of a load; several times the duration of a load while every owner
 *     loads
 * @param retryMs delay after a failed load; doubles with each further failure of the adapter
 * @param maxFailures consecutive load failures after which the waiting requests are refused
 * @param maxQueued requests that may be queued at this owner
 */
public record PlacementSettings(
    long demandHalfLifeMs,
    int hotDemand,
    long loadAloneMs,
    long hungAfterMs,
    long retryMs,
    int maxFailures,
    int maxQueued) {

  private static final long DEFAULT_HALF_LIFE_MS = 150_000;
  private static final int DEFAULT_HOT_DEMAND = 14;
  private static final long DEFAULT_LOAD_ALONE_MS = 250;
  private static final long DEFAULT_HUNG_AFTER_MS = 5_000;
  private static final long DEFAULT_RETRY_MS = 250;
  private static final int DEFAULT_MAX_FAILURES = 5;
  private static final int DEFAULT_MAX_QUEUED = 2_000;

  /** Validates the components. */
  public PlacementSettings {
    check("demandHalfLifeMs", demandHalfLifeMs);
    check("hotDemand", hotDemand);
    check("loadAloneMs", loadAloneMs);
    check("hungAfterMs", hungAfterMs);
    check("retryMs", retryMs);
    check("maxFailures", maxFailures);
    check("maxQueued", maxQueued);
    if (hungAfterMs <= loadAloneMs) {
      throw new IllegalArgumentException(
          "hungAfterMs must be above loadAloneMs: " + hungAfterMs + " and " + loadAloneMs);
    }
  }

  /** Returns the settings for a weight store that serves four loads a second. */
  public static PlacementSettings defaults() {
    return new PlacementSettings(
        DEFAULT_HALF_LIFE_MS,
        DEFAULT_HOT_DEMAND,
        DEFAULT_LOAD_ALONE_MS,
        DEFAULT_HUNG_AFTER_MS,
        DEFAULT_RETRY_MS,
        DEFAULT_MAX_FAILURES,
        DEFAULT_MAX_QUEUED);
  }

  private static void check(String what, long value) {
    if (value < 1) {
      throw new IllegalArgumentException(what + " must be at least 1: " + value);
    }
  }
}
