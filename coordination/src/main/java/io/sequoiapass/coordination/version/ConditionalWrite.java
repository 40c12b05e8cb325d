package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.version.WriteDecision.Outcome;
import java.util.Objects;

/**
 * Decides what became of one conditional write to the platform, also when answers are lost.
 *
 * <pre>{@code
 * ConditionalWrite write = ConditionalWrite.create(operation, version);
 * WriteDecision decision = write.answered(new WriteAnswer.Lost()); // RETRY, same operation
 * }</pre>
 *
 * <p>The same write may be sent any number of times: the expected version lets it take effect once
 * at most. Not thread-safe; one shard drives it.
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
   * Returns a write that was not sent yet.
   *
   * @param operation its name, never used for another write
   * @param expectedVersion the version the object must have; 0 if it must not exist
   */
  public static ConditionalWrite create(OperationId operation, long expectedVersion) {
    if (expectedVersion < 0) {
      throw new IllegalArgumentException("expected version must be >= 0: " + expectedVersion);
    }
    return new ConditionalWrite(operation, expectedVersion);
  }

  /** Returns the write's name. */
  public OperationId operation() {
    return operation;
  }

  /** Returns the version that the object must have. */
  public long expectedVersion() {
    return expectedVersion;
  }

  /**
   * Takes in what came back from one try.
   *
   * @param answer what came back
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

  // After a lost answer the retry conflicts with the own change. Taken for somebody else's, it
  // would be done again on top: a second handover, or a lease given up that is held. The operation
  // id in the object tells them apart; once overwritten by a third party it is gone, and the caller
  // is told that too.
  private WriteDecision afterConflict(WriteAnswer.Conflict conflict) {
    if (conflict.operation().filter(operation::equals).isPresent()) {
      return new WriteDecision(Outcome.APPLIED, conflict.version(), false);
    }
    return new WriteDecision(Outcome.CONFLICT, conflict.version(), answerLost);
  }
}
