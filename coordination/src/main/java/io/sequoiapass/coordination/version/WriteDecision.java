package io.sequoiapass.coordination.version;

/**
 * Outcome of one attempt of a conditional write, which determines the next step.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param outcome the outcome
 * @param version the object's version: the one written after APPLIED, the conflicting one after
 *     CONFLICT, the expected one after RETRY
 * @param maybeOverwritten after CONFLICT: whether this write may have taken effect and then been
 *     overwritten
 */
public record WriteDecision(Outcome outcome, long version, boolean maybeOverwritten) {

  /** Outcome of a conditional write. */
  public enum Outcome {
    /** The write took effect and the object holds its value. */
    APPLIED,
    /** Another change took effect: read it, decide again and write under a new operation id. */
    CONFLICT,
    /** Outcome unknown: send the same write again under the same operation id. */
    RETRY
  }

  /** Returns whether the write took effect. */
  public boolean isApplied() {
    return outcome == Outcome.APPLIED;
  }
}
