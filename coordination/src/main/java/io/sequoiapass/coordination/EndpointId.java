package io.sequoiapass.coordination;

import java.util.Optional;

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

  /**
   * Returns the identifier with a name from outside, such as that of an object in the platform's
   * store; empty if the name cannot be one.
   *
   * @param name the name
   */
  public static Optional<EndpointId> parse(String name) {
    return Names.isValid(name) ? Optional.of(new EndpointId(name)) : Optional.empty();
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
