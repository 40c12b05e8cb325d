package io.sequoiapass.coordination.version;

/**
 * What to do after one try of a conditional write.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param outcome what became of the write
 * @param version the object's version: the own one after APPLIED, the other's after CONFLICT, the
 *     expected one after RETRY
 * @param maybeOverwritten after CONFLICT: whether the own change may have taken effect before the
 *     one that is there now
 */
public record WriteDecision(Outcome outcome, long version, boolean maybeOverwritten) {

  /** What became of a conditional write. */
  public enum Outcome {
    /** It took effect and is what the object holds. */
    APPLIED,
    /** Another change is there: read it, decide anew, write under a new operation id. */
    CONFLICT,
    /** Not known: send the same write under the same operation id again. */
    RETRY
  }

  /** Returns whether the write took effect. */
  public boolean isApplied() {
    return outcome == Outcome.APPLIED;
  }
}
