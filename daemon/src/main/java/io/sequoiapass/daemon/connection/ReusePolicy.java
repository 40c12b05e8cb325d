package io.sequoiapass.daemon.connection;

/**
 * Decides whether a kept connection may carry a call.
 *
 * <p>A server closes idle connections after a while. A request that crosses that close is lost, and
 * nobody can tell whether it ran, so a call that must not run twice trusts a kept connection less.
 */
public enum ReusePolicy {
  /** Any connection that still counts as open; for calls that may be sent again. */
  ANY {
    @Override
    boolean allows(long idleMs, long limitMs) {
      return limitMs < 0 ? idleMs < UNSTATED_LIMIT_MS : idleMs < limitMs * 3 / 4;
    }
  },
  /** Only a connection that was used a moment ago; for calls that must not run twice. */
  RECENT {
    @Override
    boolean allows(long idleMs, long limitMs) {
      return limitMs < 0 ? idleMs < UNSTATED_RECENT_MS : idleMs < limitMs / 2;
    }
  };

  /**
   * How long a connection is trusted whose server states no limit, in milliseconds. Limits are
   * stated in whole seconds, so an unstated one may be anything below a second or none at all.
   */
  private static final long UNSTATED_LIMIT_MS = 4_000;

  /**
   * The same for calls that must not run twice, in milliseconds: half a second is a short limit.
   */
  private static final long UNSTATED_RECENT_MS = 400;

  abstract boolean allows(long idleMs, long limitMs);
}
