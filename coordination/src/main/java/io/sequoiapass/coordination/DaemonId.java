package io.sequoiapass.coordination;

/**
 * Identifier of a daemon; a restarted daemon keeps it, under a new incarnation.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the identifier, not blank
 */
public record DaemonId(String value) implements Comparable<DaemonId> {

  /** Checks the identifier. */
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
