package io.sequoiapass.coordination;

/**
 * Names one host.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the name, not blank
 */
public record HostId(String value) implements Comparable<HostId> {

  /** Checks the name. */
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
