package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.spi.HostSettings;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.IntSupplier;

/**
 * Limits how often this daemon sends requests of one service again.
 *
 * <p>All daemons share one budget: a ratio of the requests in a window, plus a fixed slack. Each
 * daemon keeps to its own requests and its part of the slack, so that the sum stays within the
 * budget without any messages. Safe for use by several threads.
 */
public final class SharedRetryBudget {

  /**
   * Share of the budget that is used at the most. Requests are counted where callers sent them, and
   * some arrive at no daemon or in the next window.
   */
  private static final double USED_SHARE = 0.8;

  /** Daemons to share with while their number is not known. */
  private static final int UNKNOWN_DAEMONS = 8;

  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> repeats = new ArrayDeque<>();
  private final double ratio;
  private final double slack;
  private final long windowMs;
  private final IntSupplier daemons;

  /**
   * Makes a budget of which nothing is used.
   *
   * @param bounds the shared budget
   * @param daemons how many daemons share it; 0 if unknown
   */
  SharedRetryBudget(HostSettings.Bounds bounds, IntSupplier daemons) {
    this.ratio = bounds.retryRatio();
    this.slack = bounds.retrySlack();
    this.windowMs = bounds.retryWindowMs();
    this.daemons = daemons;
  }

  /**
   * Counts a request of a caller.
   *
   * @param now the time, in milliseconds
   */
  public synchronized void requestArrived(long now) {
    requests.add(now);
    expire(requests, now);
  }

  /**
   * Takes one repeat, or returns false if the budget does not allow it.
   *
   * @param now the time, in milliseconds
   */
  public synchronized boolean take(long now) {
    if (!allows(now)) {
      return false;
    }
    repeats.add(now);
    return true;
  }

  /**
   * Returns whether the budget allows a repeat.
   *
   * @param now the time, in milliseconds
   */
  public synchronized boolean allows(long now) {
    expire(requests, now);
    expire(repeats, now);
    int sharing = Math.max(1, daemons.getAsInt() > 0 ? daemons.getAsInt() : UNKNOWN_DAEMONS);
    double allowed = USED_SHARE * (ratio * requests.size() + slack / sharing);
    return repeats.size() + 1 <= allowed;
  }

  private void expire(Deque<Long> times, long now) {
    while (!times.isEmpty() && now - times.peek() >= windowMs) {
      times.poll();
    }
  }
}
