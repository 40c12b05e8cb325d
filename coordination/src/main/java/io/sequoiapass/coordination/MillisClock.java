package io.sequoiapass.coordination;

import java.util.concurrent.TimeUnit;

/**
 * Clock with millisecond resolution.
 *
 * <pre>{@code
 * MillisClock clock = MillisClock.monotonic();
 * long deadline = clock.millis() + 450;
 * }</pre>
 *
 * <p>Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface MillisClock {

  /** Returns the time in milliseconds since an arbitrary origin. */
  long millis();

  /**
   * Returns a clock that never moves backwards; its origin differs between processes. Leases,
   * timeouts and deadlines use it, since a step of the wall clock would expire all of them at the
   * same time.
   */
  static MillisClock monotonic() {
    return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Returns the wall clock, in milliseconds since 1970; only for times that people read. */
  static MillisClock wall() {
    return System::currentTimeMillis;
  }
}
