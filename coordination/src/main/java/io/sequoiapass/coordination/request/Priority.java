package io.sequoiapass.coordination.request;

/**
 * Request priorities: a lower rank is served first and shed last.
 *
 * <pre>{@code
 * if (arriving.outranks(queued)) {
 *   shed(queued);
 * }
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public enum Priority {
  /** Work that a procedure with a fixed time depends on; may be hedged. */
  DEADLINE(0, true),

  /** Work that a person is waiting for. */
  INTERACTIVE(1, false),

  /** Work that nobody is waiting for; uses the remaining capacity. */
  BATCH(2, false);

  private final int rank;
  private final boolean hedged;

  Priority(int rank, boolean hedged) {
    this.rank = rank;
    this.hedged = hedged;
  }

  /** Returns the position in the order of service; zero is served first. */
  public int rank() {
    return rank;
  }

  /** Returns whether a second attempt may be sent before the first one has failed. */
  public boolean hedged() {
    return hedged;
  }

  /** Returns whether this priority is served before the other. */
  public boolean outranks(Priority other) {
    return rank < other.rank;
  }
}
