package io.sequoiapass.coordination;

/**
 * Names one service: the application on whose behalf callers send requests.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the name, not blank
 */
public record ServiceId(String value) implements Comparable<ServiceId> {

  /** Checks the name. */
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
