package io.sequoiapass.gateway.version;

/** Reports what may be repeated of the requests of a route. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT {
    @Override
    public boolean mayRepeat(boolean resumable) {
      return true;
    }
  },
  /** May run once at most. */
  NON_IDEMPOTENT {
    @Override
    public boolean mayRepeat(boolean resumable) {
      return false;
    }
  },
  /** Answered by a stream of events; may be repeated only where a stream may be resumed. */
  STREAMING {
    @Override
    public boolean mayRepeat(boolean resumable) {
      return resumable;
    }
  };

  /**
   * Returns whether a request that may have run may be sent once more.
   *
   * @param resumable whether the route's streams may be resumed
   */
  public abstract boolean mayRepeat(boolean resumable);
}
