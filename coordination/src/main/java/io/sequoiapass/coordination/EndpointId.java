package io.sequoiapass.coordination;

/**
 * Identifier of an endpoint: an engine or a plain service that runs requests.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the identifier, not blank
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

  /** Checks the identifier. */
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
