package io.sequoiapass.coordination.request;

/**
 * Whether a request may run again after an attempt with an unknown result.
 *
 * <pre>{@code
 * if (repeatability.needsStartGrant()) {
 *   requestStartGrant();
 * }
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public enum Repeatability {
  /** A second run only costs time, as for completions and searches. */
  REPEATABLE(false),

  /** A second run is harmful, as for payment slips and billed lookups. */
  AT_MOST_ONCE(true);

  private final boolean needsStartGrant;

  Repeatability(boolean needsStartGrant) {
    this.needsStartGrant = needsStartGrant;
  }

  /**
   * Returns whether the owner must request a grant from the entry daemon directly before it writes
   * to the endpoint.
   */
  public boolean needsStartGrant() {
    return needsStartGrant;
  }

  /** Returns whether another attempt may follow one that may have run. */
  public boolean mayRunAgain() {
    return !needsStartGrant;
  }
}
