package io.sequoiapass.coordination;

/**
 * Identifier of a base model that adapters are trained for.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the identifier, not blank
 */
public record ModelId(String value) implements Comparable<ModelId> {

  /** Checks the identifier. */
  public ModelId {
    Names.check("model", value);
  }

  @Override
  public int compareTo(ModelId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
