package io.sequoiapass.coordination.process;

/** Which orders a daemon may give to an endpoint at this moment. */
public enum OrderAuthority {
  /** Every order. */
  FULL {
    @Override
    public boolean permits(OrderKind order) {
      return true;
    }
  },
  /** Only orders that harm nobody if another daemon owns the endpoint by now. */
  HARMLESS_ONLY {
    @Override
    public boolean permits(OrderKind order) {
      return !order.isDestructive();
    }
  },
  /** No order at all. */
  NONE {
    @Override
    public boolean permits(OrderKind order) {
      return false;
    }
  };

  /**
   * Returns whether an order may be given.
   *
   * @param order the order
   */
  public abstract boolean permits(OrderKind order);
}
