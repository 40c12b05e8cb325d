package io.sequoiapass.coordination.request;

/**
 * Orders requests under load: a lower rank is served first and shed last.
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
  /** Somebody's procedure waits on a fixed hour; may be hedged. */
  DEADLINE(0, true),

  /** A person waits for the answer. */
  INTERACTIVE(1, false),

  /** Nobody waits; takes what the others leave. */
  BATCH(2, false);

  private final int rank;
  private final boolean hedged;

  Priority(int rank, boolean hedged) {
    this.rank = rank;
    this.hedged = hedged;
  }

  /** Returns the place in the order of service; zero goes first. */
  public int rank() {
    return rank;
  }

  /** Returns whether a second attempt may be sent before the first one failed. */
  public boolean hedged() {
    return hedged;
  }

  /** Returns whether this is served before the other. */
  public boolean outranks(Priority other) {
    return rank < other.rank;
  }
}
