package io.sequoiapass.daemon.process.placement;

/**
 * Times and bounds of the placement, each shaped by the weight store or by the fleet's size.
 *
 * <pre>{@code
 * PlacementSettings settings = PlacementSettings.defaults();
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param demandHalfLifeMs after how long a request counts half in an adapter's demand: long enough
 *     that the adapters at the edge of what fits are seen twice within it
 * @param hotDemand demand, in requests of the last half-life or so, from which an adapter is hot
 *     where stalls and batches weigh the same: it then keeps a stream going for a good part of the
 *     time
 * @param loadAloneMs how long a load takes when the weight store serves no other
 * @param hungAfterMs when a load is given up as hung; several times what a load takes when every
 *     owner loads at once
 * @param retryMs pause after a failed load; doubles with each further failure of the adapter
 * @param maxFailures failed loads in a row after which the requests that wait are refused
 * @param maxQueued requests that may wait at this owner
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

  /** Checks the bounds. */
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

  /** Returns the settings for a weight store that gives four loads a second. */
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
