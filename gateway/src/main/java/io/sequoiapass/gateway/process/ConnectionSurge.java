package io.sequoiapass.gateway.process;

/**
 * Decides whether this daemon refuses new connections of callers, because the load balancer sends
 * it several times its usual share and it can't keep up; other daemons have room then.
 *
 * <pre>{@code
 * surge.opened(now);                        // for each new connection
 * surge.probed(latenessMs, now);            // at a fixed interval
 * if (surge.isRefusing()) { ... }
 * }</pre>
 *
 * <p>A caller whose connection is closed with its request unread tries another daemon at once. A
 * daemon that is merely busy, as all others are, refuses nothing. Not safe for use by several
 * threads.
 */
final class ConnectionSurge {

  /** Interval between probes of the event loop, in milliseconds. */
  static final long PROBE_MS = 50;

  /** Lateness of a probe that shows that the loop does not keep up, in milliseconds. */
  private static final long LATE_MS = 40;

  /** Late probes in a row, so that one pause of the process does not count. */
  private static final int LATE_PROBES = 4;

  /** Probes in time, in a row, after which connections are accepted again. */
  private static final int TIMELY_PROBES = 4;

  /** New connections in relation to the usual number; a burst of all callers stays below it. */
  private static final double SURGE = 4;

  /** Fewest new connections in a second that are a surge. */
  private static final double MIN_PER_S = 5;

  private static final double RECENT_MS = 1_000;
  private static final double USUAL_MS = 30_000;
  private static final double MILLIS_PER_SECOND = 1_000;

  private double recentPerS;
  private double usualPerS;
  private final long startedAt;
  private long countedAt;
  private int late;
  private int timely;
  private boolean refusing;

  /**
   * Creates it without connections.
   *
   * @param now the time, in milliseconds
   */
  ConnectionSurge(long now) {
    startedAt = now;
    countedAt = now;
  }

  /** Records a new connection. */
  void opened(long now) {
    decay(now);
    recentPerS += MILLIS_PER_SECOND / RECENT_MS;
    usualPerS += MILLIS_PER_SECOND / USUAL_MS;
  }

  private void decay(long now) {
    double elapsed = (double) (now - countedAt);
    recentPerS *= Math.exp(-elapsed / RECENT_MS);
    usualPerS *= Math.exp(-elapsed / USUAL_MS);
    countedAt = now;
  }

  /**
   * Records a probe of the event loop.
   *
   * @param latenessMs how late it ran, in milliseconds
   * @param now the time, in milliseconds
   */
  void probed(long latenessMs, long now) {
    decay(now);
    boolean isLate = latenessMs >= LATE_MS;
    late = isLate ? late + 1 : 0;
    timely = isLate ? 0 : timely + 1;
    boolean isUsualKnown = now - startedAt >= USUAL_MS;
    boolean isSurge = isUsualKnown && recentPerS >= Math.max(MIN_PER_S, SURGE * usualPerS);
    if (late >= LATE_PROBES && isSurge) {
      refusing = true;
    } else if (timely >= TIMELY_PROBES) {
      refusing = false;
    }
  }

  /** Returns whether new connections are closed unread, and the load balancer is to use others. */
  boolean isRefusing() {
    return refusing;
  }
}
