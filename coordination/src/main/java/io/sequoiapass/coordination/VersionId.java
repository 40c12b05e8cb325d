package io.sequoiapass.coordination;

/**
 * Identifier of a version of an adapter's weights.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the identifier, not blank
 */
public record VersionId(String value) implements Comparable<VersionId> {

  /** Checks the identifier. */
  public VersionId {
    Names.check("version", value);
  }

  @Override
  public int compareTo(VersionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
