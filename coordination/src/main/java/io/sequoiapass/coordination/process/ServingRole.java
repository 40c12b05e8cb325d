package io.sequoiapass.coordination.process;

/** Role of a daemon for an endpoint. */
public enum ServingRole {
  /** Owner: serves the endpoint and, as far as its lease permits, sends it orders. */
  OWNER(true, true),
  /**
   * Serves the endpoint while its owner is dead and the platform is out; resident adapters only, no
   * orders.
   */
  BACKUP_OWNER(true, false),
  /** Neither owner nor backup owner. */
  NONE(false, false);

  private final boolean serves;
  private final boolean orders;

  ServingRole(boolean serves, boolean orders) {
    this.serves = serves;
    this.orders = orders;
  }

  /** Returns whether it may send requests to the endpoint for adapters that are resident there. */
  public boolean mayServeResident() {
    return serves;
  }

  /** Returns whether it may send orders; {@link LeaseManager#mayOrder} decides about each order. */
  public boolean mayGiveOrders() {
    return orders;
  }
}
