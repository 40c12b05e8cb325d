package io.sequoiapass.coordination.process;

/** Which orders a daemon may send to an endpoint. */
public enum OrderAuthority {
  /** Every order. */
  FULL {
    @Override
    public boolean permits(OrderKind order) {
      return true;
    }
  },
  /** Only orders that are harmless even if another daemon owns the endpoint. */
  NON_DESTRUCTIVE {
    @Override
    public boolean permits(OrderKind order) {
      return !order.isDestructive();
    }
  },
  /** No order. */
  NONE {
    @Override
    public boolean permits(OrderKind order) {
      return false;
    }
  };

  /**
   * Returns whether an order may be sent.
   *
   * @param order the order
   */
  public abstract boolean permits(OrderKind order);
}
