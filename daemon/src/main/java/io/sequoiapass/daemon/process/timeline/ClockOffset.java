package io.sequoiapass.daemon.process.timeline;

/**
 * Estimates how far another process's wall clock is ahead of ours, from one round trip.
 *
 * <p>The other clock was read somewhere between our sending and receiving. The midpoint is the best
 * guess, and half the round trip bounds its error whatever the two ways took. The shortest of
 * several round trips gives the tightest bound.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param aheadMs how far the other clock is ahead; negative if it is behind
 * @param uncertaintyMs the largest error of that
 */
public record ClockOffset(long aheadMs, long uncertaintyMs) {

  /**
   * Returns the estimate from one round trip.
   *
   * @param sentMs our clock when we asked
   * @param otherMs the other clock in the answer
   * @param receivedMs our clock when the answer was there
   */
  public static ClockOffset of(long sentMs, long otherMs, long receivedMs) {
    if (receivedMs < sentMs) {
      throw new IllegalArgumentException("received at " + receivedMs + " before " + sentMs);
    }
    long midpoint = sentMs + (receivedMs - sentMs) / 2;
    // Rounded up, and one more for the two clocks' own rounding to milliseconds.
    long error = (receivedMs - sentMs + 1) / 2 + 1;
    return new ClockOffset(otherMs - midpoint, error);
  }

  /**
   * Returns the one of two estimates with the smaller error.
   *
   * @param other the other estimate
   */
  public ClockOffset tighter(ClockOffset other) {
    return other.uncertaintyMs < uncertaintyMs ? other : this;
  }
}
