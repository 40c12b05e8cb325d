package io.sequoiapass.coordination.process;

/** Whether an endpoint refuses orders that carry an old fencing number. */
public enum FencePolicy {
  /** Refuses them, so a late order does nothing and the owner may go on without a lease. */
  CHECKS {
    @Override
    public OrderAuthority authority(LeaseStanding standing) {
      return switch (standing) {
        case VALID, STARTING, LAPSED, LAPSED_FOR_ALL -> OrderAuthority.FULL;
        case NOT_HELD, SUPERSEDED -> OrderAuthority.NONE;
      };
    }
  },
  /** Runs them, so only the lease keeps a former owner from harm. */
  IGNORES {
    @Override
    public OrderAuthority authority(LeaseStanding standing) {
      return switch (standing) {
        case VALID, LAPSED_FOR_ALL -> OrderAuthority.FULL;
        case LAPSED, STARTING -> OrderAuthority.HARMLESS_ONLY;
        case NOT_HELD, SUPERSEDED -> OrderAuthority.NONE;
      };
    }
  };

  /**
   * Returns which orders an owner may give.
   *
   * @param standing how the owner's lease stands
   */
  public abstract OrderAuthority authority(LeaseStanding standing);
}
