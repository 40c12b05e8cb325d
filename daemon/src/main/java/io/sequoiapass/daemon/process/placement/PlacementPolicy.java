package io.sequoiapass.daemon.process.placement;

/** Placement implementations that a daemon can run. */
public enum PlacementPolicy {
  /** Weighs demand, weight store load and batch efficiency. */
  ADAPTIVE {
    @Override
    public Placement create(PlacementSettings settings, PlacementWeights weights) {
      return new AdaptivePlacement(settings, weights);
    }
  },
  /** Evicts the least recently used adapter: the baseline for comparisons. */
  LRU {
    @Override
    public Placement create(PlacementSettings settings, PlacementWeights weights) {
      return new LruPlacement();
    }
  };

  /**
   * Returns a placement without endpoints.
   *
   * @param settings times and bounds
   * @param weights weights of load stalls and batch efficiency
   */
  public abstract Placement create(PlacementSettings settings, PlacementWeights weights);
}
