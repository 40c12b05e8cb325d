package io.sequoiapass.coordination.request;

/**
 * State of the work of one idempotency key.
 *
 * <p>Safe for use by several threads.
 */
public enum LedgerState {
  /** An entry daemon holds the key and has not been permitted to start. */
  RESERVED,

  /** An entry daemon was permitted to start. */
  STARTED,

  /** It ran and was answered. */
  ANSWERED,

  /** It may have run. */
  UNKNOWN,

  /** It is proved that it did not run; the key is free. */
  RELEASED;

  /** Returns the error sent to another request with the key; fails for {@code RELEASED}. */
  ErrorKind refusal() {
    return switch (this) {
      case RESERVED, STARTED -> ErrorKind.KEY_IN_PROGRESS;
      case ANSWERED -> ErrorKind.KEY_ALREADY_RAN;
      case UNKNOWN -> ErrorKind.KEY_OUTCOME_UNKNOWN;
      case RELEASED -> throw new IllegalStateException("a released key has no refusal");
    };
  }

  boolean isOpen() {
    return this == RESERVED || this == STARTED;
  }

  /**
   * Returns whether an outcome reported by the holder replaces this state. A run cannot be undone,
   * and a released key was proved not to have started; a late message changes neither.
   */
  boolean isReplacedBy(LedgerState outcome) {
    return isOpen() || (this == UNKNOWN && outcome != UNKNOWN);
  }

  /** Returns the state that results from an outcome. */
  static LedgerState ofOutcome(OutcomeClass outcome) {
    return switch (outcome) {
      case ANSWERED -> ANSWERED;
      case NOT_RUN -> RELEASED;
      case UNKNOWN -> UNKNOWN;
    };
  }
}
