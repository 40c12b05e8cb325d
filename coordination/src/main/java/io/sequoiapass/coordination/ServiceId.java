package io.sequoiapass.coordination;

/**
 * Identifier of a service: the application on whose behalf callers send requests.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the identifier, not blank
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

  /** Checks the identifier. */
  public ServiceId {
    Names.check("service", value);
  }

  @Override
  public int compareTo(ServiceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
