package io.sequoiapass.coordination.process;

/** What an owner tells an endpoint to do, by the harm it does when a former owner tells it. */
public enum OrderKind {
  /** Load an adapter into a slot that is free; the worst is a load that nobody wanted. */
  LOAD_INTO_FREE_SLOT(false),
  /** Unload an adapter, which another owner's requests may be running on. */
  UNLOAD(true),
  /** Change the endpoint's role, which may cut what runs. */
  CHANGE_ROLE(true);

  private final boolean destructive;

  OrderKind(boolean destructive) {
    this.destructive = destructive;
  }

  /** Returns whether it can harm requests of another owner. */
  public boolean isDestructive() {
    return destructive;
  }
}
