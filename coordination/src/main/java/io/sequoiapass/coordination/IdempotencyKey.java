package io.sequoiapass.coordination;

/**
 * Caller-supplied key of work that must run at most once.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the identifier, not blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {

  /** Checks the identifier. */
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
