package io.sequoiapass.coordination.request;

/**
 * Tells whether a request may run a second time after an attempt whose result is not known.
 *
 * <pre>{@code
 * if (repeatability.needsStartGrant()) {
 *   askEntry();
 * }
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public enum Repeatability {
  /** A second run costs time and nothing else: completions, searches. */
  REPEATABLE(false),

  /** A second run does harm: payment slips, billed lookups. */
  AT_MOST_ONCE(true);

  private final boolean needsStartGrant;

  Repeatability(boolean needsStartGrant) {
    this.needsStartGrant = needsStartGrant;
  }

  /** Returns whether the owner has to ask the entry right before it writes to the endpoint. */
  public boolean needsStartGrant() {
    return needsStartGrant;
  }

  /** Returns whether another attempt may follow one that may have run. */
  public boolean mayRunAgain() {
    return !needsStartGrant;
  }
}
