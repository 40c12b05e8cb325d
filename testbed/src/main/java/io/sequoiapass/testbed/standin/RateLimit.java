package io.sequoiapass.testbed.standin;

import io.sequoiapass.coordination.MillisClock;

/** Token bucket whose burst is one second of calls; confined to one event loop. */
final class RateLimit {

  private final int perSecond;
  private final MillisClock clock;
  private double available;
  private long refilledAt;

  RateLimit(int perSecond, MillisClock clock) {
    this.perSecond = perSecond;
    this.clock = clock;
    this.available = perSecond;
    this.refilledAt = clock.millis();
  }

  boolean tryAcquire() {
    long now = clock.millis();
    available = Math.min(perSecond, available + (now - refilledAt) * perSecond / 1_000.0);
    refilledAt = now;
    if (available < 1) {
      return false;
    }
    available--;
    return true;
  }
}
