package io.sequoiapass.coordination;

/**
 * Identifier of a workspace: a customer whose callers share API keys and a usage limit.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param value the identifier, not blank
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {

  /** Checks the identifier. */
  public WorkspaceId {
    Names.check("workspace", value);
  }

  @Override
  public int compareTo(WorkspaceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
