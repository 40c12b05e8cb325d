package io.sequoiapass.coordination;

/**
 * Names one write to the platform, so that a retry recognises its own change.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the name, not blank
 */
public record OperationId(String value) implements Comparable<OperationId> {

  /** Checks the name. */
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
