package io.sequoiapass.coordination;

/**
 * Names one daemon process of the fleet; a restarted daemon keeps its name.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the name, not blank
 */
public record DaemonId(String value) implements Comparable<DaemonId> {

  /** Checks the name. */
  public DaemonId {
    Names.check("daemon", value);
  }

  @Override
  public int compareTo(DaemonId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
