package io.sequoiapass.gateway.process;

/**
 * Decides whether a service is short of room, from how long requests have to wait for it.
 *
 * <pre>{@code
 * boolean isShort = detector.update(waitMs / bearableMs, now);
 * }</pre>
 *
 * <p>Answers the load of a burst that lasts for seconds while all slots are in use or engines are
 * lost. A peak that passes within half a second is left to the queues. Not safe for use by several
 * threads.
 */
final class ShortageDetector {

  /** How long the wait must exceed what callers can bear, in milliseconds. */
  static final long BEGIN_MS = 500;

  /** How long the wait must be short again, in milliseconds. */
  static final long END_MS = 2_000;

  /**
   * Pressure at which the wait takes most of the target time, and requests are about to be late.
   */
  private static final double URGENT_PRESSURE = 1.6;

  /** Pressure below which requests find room almost at once. */
  private static final double LOW_PRESSURE = 0.1;

  private boolean isShort;
  private boolean isChanging;
  private long changingSince;

  /**
   * Updates the decision.
   *
   * @param pressure the expected wait, relative to what callers can bear
   * @param now the time, in milliseconds
   * @return whether there is a shortage
   */
  boolean update(double pressure, long now) {
    boolean contradicts = isShort ? pressure < LOW_PRESSURE : pressure > 1;
    if (!contradicts) {
      isChanging = false;
    } else if (!isChanging) {
      isChanging = true;
      changingSince = now;
    }
    boolean isUrgent = !isShort && pressure > URGENT_PRESSURE;
    if (isUrgent || (isChanging && now - changingSince >= (isShort ? END_MS : BEGIN_MS))) {
      isShort = !isShort;
      isChanging = false;
    }
    return isShort;
  }
}
