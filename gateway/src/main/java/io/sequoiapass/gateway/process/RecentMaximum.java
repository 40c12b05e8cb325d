package io.sequoiapass.gateway.process;

/**
 * The largest of the numbers reported in a period. The last one counts until the next, however old
 * it is.
 *
 * <p>Safe for use by several threads.
 */
final class RecentMaximum {

  private final long periodMs;
  private int maximum;
  private long at;

  /**
   * Creates a maximum of no numbers, which is 0.
   *
   * @param periodMs how long a larger number counts, in milliseconds
   */
  RecentMaximum(long periodMs) {
    this.periodMs = periodMs;
  }

  synchronized void add(int number, long now) {
    if (number >= maximum || now - at >= periodMs) {
      maximum = number;
      at = now;
    }
  }

  synchronized int value() {
    return maximum;
  }
}
