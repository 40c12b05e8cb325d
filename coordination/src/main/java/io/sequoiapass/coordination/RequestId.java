package io.sequoiapass.coordination;

/**
 * Identifier of a request, the same over every hop and attempt.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the identifier, not blank
 */
public record RequestId(String value) implements Comparable<RequestId> {

  /** Checks the identifier. */
  public RequestId {
    Names.check("request", value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
