package io.sequoiapass.coordination.process;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What was used in a sliding window, as a share of what the window allows.
 *
 * <p>Shares rather than units are kept, so that a changed limit applies to what comes next and not
 * to what was admitted under the limit before it. Not safe for use by several threads.
 */
final class UsageWindow {

  /** Number of rounds ahead in which the window must not overflow. */
  private static final int ROUNDS_AHEAD = 3;

  /**
   * Share of the window that is allocated. The rest covers what is not counted: admissions of
   * daemons without a coordinator, and of the time before a coordinator was replaced.
   */
  private static final double ALLOCATED_SHARE = 0.95;

  private final long lengthMs;
  private final Deque<Round> rounds = new ArrayDeque<>();
  private double used;

  private record Round(long endedAt, double share) {}

  /**
   * Creates an empty window.
   *
   * @param lengthMs its length, in milliseconds
   */
  UsageWindow(long lengthMs) {
    this.lengthMs = lengthMs;
  }

  /**
   * Adds what was used in the round that ends now.
   *
   * @param share the share of what a window allows
   * @param now the time, in milliseconds
   */
  void add(double share, long now) {
    rounds.add(new Round(now, share));
    used += share;
    while (!rounds.isEmpty() && now - rounds.peek().endedAt() >= lengthMs) {
      used -= rounds.poll().share();
    }
    if (rounds.isEmpty()) {
      used = 0;
    }
  }

  /** Returns the share that is used, from 0; above 1 if too much was admitted. */
  double used() {
    return used;
  }

  /**
   * Returns how much may be used in each millisecond of the next rounds, as a share of what a
   * window allows: what is left, and what leaves the window by then.
   *
   * @param now the time, in milliseconds
   * @param roundMs the length of a round, in milliseconds
   */
  double allowedPerMs(long now, double roundMs) {
    double ahead = Math.max(1, roundMs);
    double allowed = Double.MAX_VALUE;
    for (int k = 1; k <= ROUNDS_AHEAD; k++) {
      double free = ALLOCATED_SHARE - used + leavingBy(now + (long) (k * ahead));
      allowed = Math.min(allowed, free / (k * ahead));
    }
    return Math.max(0, allowed);
  }

  private double leavingBy(long time) {
    double leaving = 0;
    for (Round round : rounds) {
      if (time - round.endedAt() < lengthMs) {
        break;
      }
      leaving += round.share();
    }
    return leaving;
  }
}
