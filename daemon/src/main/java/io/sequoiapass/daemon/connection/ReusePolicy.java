package io.sequoiapass.daemon.connection;

/**
 * Decides whether an idle connection may be reused for a call.
 *
 * <p>Servers close connections that are idle too long. A request sent while the server closes the
 * connection is lost, and the client cannot determine whether it ran. Calls that must not run twice
 * therefore reuse only recently used connections.
 */
public enum ReusePolicy {
  /** Any connection that is assumed to be open; for calls that may be sent again. */
  ANY {
    @Override
    boolean allows(long idleMs, long limitMs) {
      return limitMs < 0 ? idleMs < DEFAULT_MAX_IDLE_MS : idleMs < limitMs * 3 / 4;
    }
  },
  /** Only a recently used connection; for calls that must not run twice. */
  RECENT {
    @Override
    boolean allows(long idleMs, long limitMs) {
      return limitMs < 0 ? idleMs < DEFAULT_RECENT_MAX_IDLE_MS : idleMs < limitMs / 2;
    }
  },
  /** No connection; for calls that show whether new ones can be opened. */
  NONE {
    @Override
    boolean allows(long idleMs, long limitMs) {
      return false;
    }
  };

  /**
   * Maximum idle time of a connection whose server states no limit. A server that closes it is
   * noticed, and a call that meets the close is sent again; the time bounds how many connections
   * that a network has dropped without notice are found one by one.
   */
  private static final long DEFAULT_MAX_IDLE_MS = 10_000;

  /** The same for calls that must not run twice; below half a second, which is a short limit. */
  private static final long DEFAULT_RECENT_MAX_IDLE_MS = 400;

  abstract boolean allows(long idleMs, long limitMs);
}
