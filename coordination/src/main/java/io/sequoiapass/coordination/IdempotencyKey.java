package io.sequoiapass.coordination;

/**
 * Names one piece of work that its caller never wants to run twice.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the name, not blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

  /** Checks the name. */
  public IdempotencyKey {
    Names.check("idempotency key", value);
  }

  @Override
  public int compareTo(IdempotencyKey other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
