package io.sequoiapass.coordination.process;

/** Whether an endpoint refuses orders that carry an old fencing number. */
public enum FencePolicy {
  /**
   * Refuses them. A delayed order has no effect, so the owner may continue without a valid lease.
   */
  CHECKS {
    @Override
    public OrderAuthority authority(LeaseStatus status) {
      return switch (status) {
        case VALID, STARTING, LAPSED, LAPSED_FOR_ALL -> OrderAuthority.FULL;
        case NOT_HELD, SUPERSEDED -> OrderAuthority.NONE;
      };
    }
  },
  /** Runs them. Only the lease prevents a former owner from sending harmful orders. */
  IGNORES {
    @Override
    public OrderAuthority authority(LeaseStatus status) {
      return switch (status) {
        case VALID, LAPSED_FOR_ALL -> OrderAuthority.FULL;
        case LAPSED, STARTING -> OrderAuthority.NON_DESTRUCTIVE;
        case NOT_HELD, SUPERSEDED -> OrderAuthority.NONE;
      };
    }
  };

  /**
   * Returns which orders an owner may send.
   *
   * @param status the status of the owner's lease
   */
  public abstract OrderAuthority authority(LeaseStatus status);
}
