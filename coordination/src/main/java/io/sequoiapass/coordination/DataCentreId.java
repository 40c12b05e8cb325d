package io.sequoiapass.coordination;

/**
 * Names one data centre.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the name, not blank
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

  /** Checks the name. */
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
