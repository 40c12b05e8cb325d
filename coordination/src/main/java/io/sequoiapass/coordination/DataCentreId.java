package io.sequoiapass.coordination;

import java.util.Optional;

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

  /**
   * Returns the identifier with a name from outside, such as that of an object in the platform's
   * store; empty if the name cannot be one.
   *
   * @param name the name
   */
  public static Optional<DataCentreId> parse(String name) {
    return Names.isValid(name) ? Optional.of(new DataCentreId(name)) : Optional.empty();
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
