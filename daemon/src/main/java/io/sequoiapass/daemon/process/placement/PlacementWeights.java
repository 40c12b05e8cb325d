package io.sequoiapass.daemon.process.placement;

/**
 * What a user prefers where load stalls and full batches pull apart.
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

  /** Share of the endpoints for hot adapters when both weigh the same. */
  private static final double EVEN_DENSE_SHARE = 0.11;

  private static final double MAX_DENSE_SHARE = 0.25;

  /** Someone waits for most answers. */
  public static final PlacementWeights STALLS = new PlacementWeights(2, 1);

  /** Long work is billed by engine time. */
  public static final PlacementWeights BATCHES = new PlacementWeights(1, 2);

  /** Checks the weights. */
  public PlacementWeights {
    check("stall", stall);
    check("batch", batch);
  }

  /** Returns these weights multiplied by what the preset in force says. */
  public PlacementWeights times(double stallFactor, double batchFactor) {
    return new PlacementWeights(stall * stallFactor, batch * batchFactor);
  }

  /**
   * Returns the share of a model's endpoints that hot adapters get, for {@link Router}: fewer make
   * fuller batches and leave other adapters fewer slots that are seldom evicted.
   */
  public double denseShare() {
    return Math.min(MAX_DENSE_SHARE, EVEN_DENSE_SHARE / Math.sqrt(batchPreference()));
  }

  /**
   * Returns from which demand an adapter is hot: each hot one makes batches fuller, and takes one
   * of the few slots that they share from the others.
   *
   * @param even the demand when both weigh the same
   */
  double hotDemand(double even) {
    return even / Math.sqrt(batchPreference());
  }

  /** Returns how much batch efficiency counts against a load stall. */
  double batchPreference() {
    return batch / stall;
  }

  private static void check(String what, double value) {
    if (!(value > 0) || Double.isInfinite(value)) {
      throw new IllegalArgumentException(what + " must be above 0: " + value);
    }
  }
}
