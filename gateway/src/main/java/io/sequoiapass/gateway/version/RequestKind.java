package io.sequoiapass.gateway.version;

/** The kind of a route's requests, which decides whether they may be repeated. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT {
    @Override
    public boolean mayRepeat(boolean resumable) {
      return true;
    }
  },
  /** May run at most once. */
  NON_IDEMPOTENT {
    @Override
    public boolean mayRepeat(boolean resumable) {
      return false;
    }
  },
  /** Answered by an event stream; may be repeated only if the route's streams may be resumed. */
  STREAMING {
    @Override
    public boolean mayRepeat(boolean resumable) {
      return resumable;
    }
  };

  /**
   * Returns whether a request that may have run may be sent again.
   *
   * @param resumable whether the route's streams may be resumed
   */
  public abstract boolean mayRepeat(boolean resumable);
}
