package io.sequoiapass.coordination;

/**
 * Names one base model that adapters refine.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the name, not blank
 */
public record ModelId(String value) implements Comparable<ModelId> {

  /** Checks the name. */
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
