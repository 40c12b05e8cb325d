package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.MillisClock;

/**
 * One moment on the clocks of one process.
 *
 * <p>The monotonic clock stops while the host is suspended and the wall clock may be set, so an age
 * is taken from both and errs upwards. Instances are immutable and safe for use by several threads.
 *
 * @param monotonicMs the monotonic clock, in milliseconds
 * @param wallMs the wall clock, in milliseconds
 */
public record ClockReading(long monotonicMs, long wallMs) {

  /**
   * Reads both clocks.
   *
   * @param monotonic the monotonic clock
   * @param wall the wall clock
   */
  public static ClockReading now(MillisClock monotonic, MillisClock wall) {
    return new ClockReading(monotonic.millis(), wall.millis());
  }

  /**
   * Returns the largest time, in milliseconds, that may have passed since an earlier reading. A
   * suspension counts in full; a step of the wall clock makes the result too large, never too
   * small.
   *
   * @param earlier a reading by the same process
   */
  public long maxElapsedMs(ClockReading earlier) {
    long monotonic = monotonicMs - earlier.monotonicMs;
    long drift = (wallMs - earlier.wallMs) - monotonic;
    return monotonic + Math.abs(drift);
  }

  /**
   * Returns whether this reading is later than another one of the same process.
   *
   * @param other the other reading
   */
  public boolean isAfter(ClockReading other) {
    return monotonicMs > other.monotonicMs;
  }
}
