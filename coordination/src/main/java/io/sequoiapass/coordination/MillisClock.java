package io.sequoiapass.coordination;

import java.util.concurrent.TimeUnit;

/**
 * Tells the time in whole milliseconds.
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

  /** Returns the time in milliseconds since an origin that the clock chooses. */
  long millis();

  /**
   * Returns a clock that never goes back; its origin differs from process to process. Leases,
   * timeouts and deadlines use it, since a step of the wall clock would lapse them all at once.
   */
  static MillisClock monotonic() {
    return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Returns the wall clock, in milliseconds since 1970; only for what people read. */
  static MillisClock wall() {
    return System::currentTimeMillis;
  }
}
