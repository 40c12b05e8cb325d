package io.sequoiapass.coordination.process;

/** What a daemon is to an endpoint at one moment. */
public enum ServingRole {
  /** Owns it: serves it and, as far as its lease goes, gives it orders. */
  OWNER(true, true),
  /** Stands in for a dead owner while the platform is out: resident adapters only, no orders. */
  DEPUTY(true, false),
  /** Neither. */
  NONE(false, false);

  private final boolean serves;
  private final boolean orders;

  ServingRole(boolean serves, boolean orders) {
    this.serves = serves;
    this.orders = orders;
  }

  /** Returns whether it sends requests to the endpoint, on adapters that are resident there. */
  public boolean mayServeResident() {
    return serves;
  }

  /** Returns whether it gives orders at all; {@link LeaseKeeper#mayOrder} tells which. */
  public boolean mayGiveOrders() {
    return orders;
  }
}
