package io.sequoiapass.gateway.process;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds how many loads of base models begin in a window.
 *
 * <p>The weight store allows a number of loads a second over all engines, and each coordinator
 * gives orders to those of one data centre only, so each takes its share. Not safe for use by
 * several threads.
 */
final class ModelLoads {

  /**
   * Share of the store's rate that is used at the most; the rest is left for orders that were lost
   * and are carried out late.
   */
  private static final double USED_SHARE = 0.8;

  private final Deque<Long> begun = new ArrayDeque<>();
  private final long windowMs;
  private final int coordinators;

  /**
   * Allows the share of one coordinator.
   *
   * @param windowMs the window, in milliseconds
   * @param coordinators how many coordinators share the store
   */
  ModelLoads(long windowMs, int coordinators) {
    this.windowMs = windowMs;
    this.coordinators = coordinators;
  }

  /** Takes one load if the window has room for it. */
  boolean take(double loadsPerSecond, long now) {
    while (!begun.isEmpty() && now - begun.peek() >= windowMs) {
      begun.poll();
    }
    double allowed = loadsPerSecond * windowMs / 1_000 * USED_SHARE / coordinators;
    if (begun.size() >= Math.max(1, (int) allowed)) {
      return false;
    }
    begun.add(now);
    return true;
  }
}
