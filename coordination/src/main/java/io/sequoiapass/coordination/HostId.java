package io.sequoiapass.coordination;

/**
 * Identifier of a host.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the identifier, not blank
 */
public record HostId(String value) implements Comparable<HostId> {

  /** Checks the identifier. */
  public HostId {
    Names.check("host", value);
  }

  @Override
  public int compareTo(HostId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
