package io.sequoiapass.coordination;

/**
 * Identifier of a write to the platform; a retry uses it to detect that an earlier attempt was
 * applied.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the identifier, not blank
 */
public record OperationId(String value) implements Comparable<OperationId> {

  /** Checks the identifier. */
  public OperationId {
    Names.check("operation", value);
  }

  @Override
  public int compareTo(OperationId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
