package io.sequoiapass.daemon.process.placement;

/**
 * Weights of load stalls and batch efficiency, which conflict.
 *
 * <pre>{@code
 * PlacementWeights peak = PlacementWeights.BATCHES.times(1.5, 1);
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param stall weight of a load stall, above 0
 * @param batch weight of batch efficiency, above 0
 */
public record PlacementWeights(double stall, double batch) {

  /** Share of the endpoints for hot adapters at equal weights. */
  private static final double DENSE_SHARE_AT_EQUAL_WEIGHTS = 0.11;

  private static final double MAX_DENSE_SHARE = 0.25;

  /** Avoids load stalls: someone waits for most answers. */
  public static final PlacementWeights STALLS = new PlacementWeights(2, 1);

  /** Prefers full batches: long work is billed by engine time. */
  public static final PlacementWeights BATCHES = new PlacementWeights(1, 2);

  /** Validates the components. */
  public PlacementWeights {
    check("stall", stall);
    check("batch", batch);
  }

  /** Returns these weights multiplied by the factors of a preset. */
  public PlacementWeights times(double stallFactor, double batchFactor) {
    return new PlacementWeights(stall * stallFactor, batch * batchFactor);
  }

  /**
   * Returns the share of a model's endpoints for hot adapters, for {@link Router}: fewer endpoints
   * make fuller batches and leave other adapters fewer slots that are seldom evicted.
   */
  public double denseShare() {
    return Math.min(MAX_DENSE_SHARE, DENSE_SHARE_AT_EQUAL_WEIGHTS / Math.sqrt(batchPreference()));
  }

  /**
   * Returns the demand from which an adapter is hot: each hot adapter makes batches fuller, but
   * uses one of the few slots that all hot adapters share.
   *
   * @param even the demand at equal weights
   */
  double hotDemand(double even) {
    return even / Math.sqrt(batchPreference());
  }

  /** Returns the weight of batch efficiency relative to load stalls. */
  double batchPreference() {
    return batch / stall;
  }

  private static void check(String what, double value) {
    if (!(value > 0) || Double.isInfinite(value)) {
      throw new IllegalArgumentException(what + " must be above 0: " + value);
    }
  }
}
