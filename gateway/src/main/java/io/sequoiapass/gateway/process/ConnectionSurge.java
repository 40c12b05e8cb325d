package io.sequoiapass.gateway.process;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decides which new connections of callers this daemon keeps while the load balancer sends it
 * several times its usual number and it can't keep up; other daemons have room then.
 *
 * <pre>{@code
 * boolean isKept = surge.opened(now);       // for each new connection
 * if (surge.wantsProbe()) { ... }           // schedule one, unless one is scheduled already
 * surge.probed(latenessMs, now);            // when it has run
 * boolean isReady = !surge.isRefusing();
 * }</pre>
 *
 * <p>A caller whose connection is closed with its request unread tries another daemon at once.
 * While the event loop is behind, no connection is kept; afterwards a number that begins near the
 * usual one and grows as long as the loop keeps up, since the requests of a whole interval would
 * put it behind again. A daemon that keeps up, or gets what it always gets, refuses nothing. Not
 * safe for use by several threads.
 */
final class ConnectionSurge {

  /** Delay of a probe of the event loop, in milliseconds; idle daemons are not woken for it. */
  static final long PROBE_MS = 50;

  /** Lateness of a probe that shows that the loop does not keep up, in milliseconds. */
  private static final long LATE_MS = 40;

  /**
   * Time since the last timely probe, or the first one, after which the loop is behind, in
   * milliseconds.
   */
  private static final long BEHIND_MS = 200;

  /** New connections in relation to the usual number that are a surge. */
  private static final double SURGE = 3;

  /** Fewest new connections in a second that are a surge. */
  private static final double MIN_PER_S = 5;

  /** Connections that are kept after the loop was behind, in relation to the usual number. */
  private static final double FIRST_KEPT = 2;

  /** Growth of the number that is kept with each timely probe. */
  private static final double GROWTH = 1.1;

  /** Seconds for which the usual number does not follow a surge. */
  private static final int MAX_SURGE_S = 30;

  /** Seconds after which connections count for the usual number, so that a surge shows first. */
  private static final int LAG_S = 3;

  /** Seconds that have to count before their mean is the usual number. */
  private static final double MIN_KNOWN_S = 2;

  private static final double RECENT_MS = 1_000;
  private static final double USUAL_S = 30;
  private static final long SECOND_MS = 1_000;

  /** Largest number of connections that may be kept at once, later ones at {@code keptPerS}. */
  private static final double MAX_TOKENS = 1;

  private long countedAt;
  private long secondEndsAt;
  private long timelyAt;
  private double recentPerS;
  private int inThisSecond;
  private final Deque<Integer> lastSeconds = new ArrayDeque<>();
  private double usualSum;
  private double usualSeconds;
  private int surgeSeconds;
  private boolean hasOpened;
  private boolean probes;
  private boolean isLate;
  private boolean refusing;
  private double keptPerS;
  private double tokens;

  /**
   * Creates it without connections.
   *
   * @param now the time, in milliseconds
   */
  ConnectionSurge(long now) {
    countedAt = now;
    secondEndsAt = now + SECOND_MS;
    timelyAt = now;
  }

  /** Records a new connection; returns whether it is kept. */
  boolean opened(long now) {
    advance(now);
    hasOpened = true;
    inThisSecond++;
    recentPerS += SECOND_MS / RECENT_MS;
    if (!probes && wantsProbe()) {
      probes = true;
      isLate = false;
      timelyAt = now;
    }
    if (isBehind(now) && isSurge()) {
      refusing = true;
      keptPerS = FIRST_KEPT * Math.max(MIN_PER_S / SURGE, usualPerS());
      tokens = 0;
      return false;
    }
    if (refusing && tokens < 1) {
      return false;
    }
    tokens -= refusing ? 1 : 0;
    return true;
  }

  /**
   * Records a probe of the event loop.
   *
   * @param latenessMs how late it ran, in milliseconds
   * @param now the time, in milliseconds
   */
  void probed(long latenessMs, long now) {
    advance(now);
    isLate = latenessMs >= LATE_MS;
    if (!isLate) {
      timelyAt = now;
      keptPerS *= GROWTH;
    }
    refusing &= recentPerS > keptPerS;
    probes = wantsProbe();
  }

  /** Returns whether the lateness of the event loop matters now. */
  boolean wantsProbe() {
    return refusing || isSurge();
  }

  private void advance(long now) {
    long elapsed = Math.max(0, now - countedAt);
    countedAt = now;
    recentPerS *= Math.exp(-elapsed / RECENT_MS);
    tokens = Math.min(MAX_TOKENS, tokens + keptPerS * elapsed / SECOND_MS);
    while (secondEndsAt <= now) {
      secondEndsAt += SECOND_MS;
      endSecond();
    }
  }

  private void endSecond() {
    surgeSeconds = isSurge() ? surgeSeconds + 1 : 0;
    boolean isUsual = surgeSeconds == 0 || surgeSeconds > MAX_SURGE_S;
    if (!isUsual) {
      lastSeconds.clear();
    } else if (hasOpened) {
      lastSeconds.add(inThisSecond);
    }
    inThisSecond = 0;
    if (lastSeconds.size() > LAG_S) {
      double kept = Math.exp(-1 / USUAL_S);
      usualSum = usualSum * kept + lastSeconds.remove();
      usualSeconds = usualSeconds * kept + 1;
    }
  }

  private double usualPerS() {
    return usualSum / usualSeconds;
  }

  private boolean isSurge() {
    return usualSeconds >= MIN_KNOWN_S && recentPerS >= Math.max(MIN_PER_S, SURGE * usualPerS());
  }

  /** Whether requests wait: after a pause of the process the next probe is timely. */
  private boolean isBehind(long now) {
    return isLate && now - timelyAt >= BEHIND_MS;
  }

  /** Returns whether new connections are refused, and the load balancer is to use others. */
  boolean isRefusing() {
    return refusing;
  }
}
