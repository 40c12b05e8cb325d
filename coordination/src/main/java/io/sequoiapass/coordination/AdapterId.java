package io.sequoiapass.coordination;

/**
 * Identifier of a LoRA adapter, without its version.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the identifier, not blank
 */
public record AdapterId(String value) implements Comparable<AdapterId> {

  /** Checks the identifier. */
  public AdapterId {
    Names.check("adapter", value);
  }

  @Override
  public int compareTo(AdapterId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
