package io.sequoiapass.gateway.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;

/**
 * Limits the number of base model loads in a sliding window.
 *
 * <p>The weight store allows a number of loads per second for all engines. Each coordinator orders
 * the engines of one data centre only, so it uses an equal share. Not safe for use by several
 * threads.
 */
final class ModelLoadLimiter {

  /**
   * Largest share of the store's rate that is used; the rest is left for lost orders that are
   * carried out late.
   */
  private static final double USED_SHARE = 0.8;

  private final Deque<Long> startedAt = new ArrayDeque<>();
  private final LongSupplier windowLengthMs;
  private final int coordinators;

  /**
   * Creates a limiter with the share of one coordinator.
   *
   * @param windowLengthMs returns the length of the window, in milliseconds
   * @param coordinators how many coordinators share the store
   */
  ModelLoadLimiter(LongSupplier windowLengthMs, int coordinators) {
    this.windowLengthMs = windowLengthMs;
    this.coordinators = coordinators;
  }

  /** Records one load if the window allows it; returns false otherwise. */
  boolean tryAcquire(double loadsPerSecond, long now) {
    long windowMs = windowLengthMs.getAsLong();
    while (!startedAt.isEmpty() && now - startedAt.peek() >= windowMs) {
      startedAt.poll();
    }
    double allowed = loadsPerSecond * windowMs / 1_000 * USED_SHARE / coordinators;
    if (startedAt.size() >= Math.max(1, (int) allowed)) {
      return false;
    }
    startedAt.add(now);
    return true;
  }
}
