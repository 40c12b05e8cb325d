package io.sequoiapass.coordination;

/**
 * Identifier of a data centre.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the identifier, not blank
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

  /** Checks the identifier. */
  public DataCentreId {
    Names.check("data centre", value);
  }

  @Override
  public int compareTo(DataCentreId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
