package io.sequoiapass.coordination;

/**
 * Fencing token that orders the successive owners of an endpoint; an order with a lower number
 * comes from a former owner.
 *
 * <p>The number is the version that the platform gave to the ownership table. Instances are
 * immutable and safe for use by several threads.
 *
 * @param value the number, zero or more
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

  /** The number before the first ownership table is written. */
  public static final FencingNumber NONE = new FencingNumber(0);

  /** Checks the number. */
  public FencingNumber {
    if (value < 0) {
      throw new IllegalArgumentException("fencing number must not be negative: " + value);
    }
  }

  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(value, other.value);
  }
}
