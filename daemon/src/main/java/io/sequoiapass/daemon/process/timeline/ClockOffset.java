package io.sequoiapass.daemon.process.timeline;

/**
 * Estimated offset of another process's wall clock from the local one, based on one round trip.
 *
 * <p>The other clock is read at some point between sending and receiving. The estimate assumes the
 * midpoint; half the round trip bounds its error, however the delay splits between the two
 * directions. The shortest of several round trips gives the tightest bound.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param aheadMs how far the other clock is ahead, in milliseconds; negative if it is behind
 * @param uncertaintyMs the maximum error of the estimate, in milliseconds
 */
public record ClockOffset(long aheadMs, long uncertaintyMs) {

  /**
   * Returns the estimate from one round trip.
   *
   * @param sentMs the local clock when the request was sent
   * @param otherMs the other process's clock, from its answer
   * @param receivedMs the local clock when the answer was received
   */
  public static ClockOffset of(long sentMs, long otherMs, long receivedMs) {
    if (receivedMs < sentMs) {
      throw new IllegalArgumentException("received at " + receivedMs + " before " + sentMs);
    }
    long midpoint = sentMs + (receivedMs - sentMs) / 2;
    // Rounded up, plus 1 ms because both clocks round to milliseconds.
    long error = (receivedMs - sentMs + 1) / 2 + 1;
    return new ClockOffset(otherMs - midpoint, error);
  }

  /**
   * Returns the estimate with the smaller maximum error; this one if both are equal.
   *
   * @param other the other estimate
   */
  public ClockOffset tighter(ClockOffset other) {
    return other.uncertaintyMs < uncertaintyMs ? other : this;
  }
}
