package io.sequoiapass.coordination.process;

/** Kind of an order to an endpoint, with the harm that it can do when a former owner sends it. */
public enum OrderKind {
  /** Loads an adapter into a free slot; at worst the load is unnecessary. */
  LOAD_INTO_FREE_SLOT(false),
  /** Unloads an adapter that requests of another owner may be using. */
  UNLOAD(true),
  /** Changes the endpoint's role, which may abort running requests. */
  CHANGE_ROLE(true);

  private final boolean destructive;

  OrderKind(boolean destructive) {
    this.destructive = destructive;
  }

  /** Returns whether the order can harm requests of another owner. */
  public boolean isDestructive() {
    return destructive;
  }
}
