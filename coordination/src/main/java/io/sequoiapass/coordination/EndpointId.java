package io.sequoiapass.coordination;

/**
 * Names one endpoint: an engine, or a plain service, that runs requests.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the name, not blank
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

  /** Checks the name. */
  public EndpointId {
    Names.check("endpoint", value);
  }

  @Override
  public int compareTo(EndpointId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
