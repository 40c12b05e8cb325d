package io.sequoiapass.daemon.process.placement;

/** Names the placements that a daemon can run. */
public enum PlacementPolicy {
  /** Weighs demand, the weight store and full batches. */
  ADAPTIVE {
    @Override
    public Placement create(PlacementSettings settings, PlacementWeights weights) {
      return new AdaptivePlacement(settings, weights);
    }
  },
  /** Evicts what was used longest ago: the baseline that measurements compare with. */
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
   * @param weights what counts more
   */
  public abstract Placement create(PlacementSettings settings, PlacementWeights weights);
}
