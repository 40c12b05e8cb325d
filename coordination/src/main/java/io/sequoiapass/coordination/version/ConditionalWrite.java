package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.version.WriteDecision.Outcome;
import java.util.Objects;

/**
 * Determines the outcome of one conditional write (compare-and-set) to the platform, including
 * after lost answers.
 *
 * <pre>{@code
 * ConditionalWrite write = ConditionalWrite.create(operation, version);
 * WriteDecision decision = write.answered(new WriteAnswer.Lost()); // RETRY, same operation
 * }</pre>
 *
 * <p>The same write may be sent any number of times: the expected version ensures that it takes
 * effect at most once. Not thread-safe; confined to one shard.
 */
public final class ConditionalWrite {

  private final OperationId operation;
  private final long expectedVersion;
  private boolean answerLost;

  private ConditionalWrite(OperationId operation, long expectedVersion) {
    this.operation = Objects.requireNonNull(operation, "operation");
    this.expectedVersion = expectedVersion;
  }

  /**
   * Returns a write that has not been sent.
   *
   * @param operation the write's unique operation id, never used for another write
   * @param expectedVersion the version the object must have; 0 if it must not exist
   */
  public static ConditionalWrite create(OperationId operation, long expectedVersion) {
    if (expectedVersion < 0) {
      throw new IllegalArgumentException("expected version must be >= 0: " + expectedVersion);
    }
    return new ConditionalWrite(operation, expectedVersion);
  }

  /** Returns the write's operation id. */
  public OperationId operation() {
    return operation;
  }

  /** Returns the version that the object must have. */
  public long expectedVersion() {
    return expectedVersion;
  }

  /**
   * Processes the answer to one attempt.
   *
   * @param answer the answer, or its loss
   */
  public WriteDecision answered(WriteAnswer answer) {
    if (answer instanceof WriteAnswer.Stored stored) {
      return new WriteDecision(Outcome.APPLIED, stored.version(), false);
    }
    if (answer instanceof WriteAnswer.Conflict conflict) {
      return afterConflict(conflict);
    }
    answerLost |= answer instanceof WriteAnswer.Lost;
    return new WriteDecision(Outcome.RETRY, expectedVersion, false);
  }

  // After a lost answer, the retry conflicts with this write's own change. If that were taken for a
  // change by another writer, the write would be repeated: a second handover, or a held lease
  // treated as lost. The operation id stored in the object distinguishes the two cases. A later
  // change by another writer overwrites the id; maybeOverwritten reports that possibility to the
  // caller.
  private WriteDecision afterConflict(WriteAnswer.Conflict conflict) {
    if (conflict.operation().filter(operation::equals).isPresent()) {
      return new WriteDecision(Outcome.APPLIED, conflict.version(), false);
    }
    return new WriteDecision(Outcome.CONFLICT, conflict.version(), answerLost);
  }
}
