package io.sequoiapass.coordination.request;

/**
 * Tells what is known of the work of one idempotency key.
 *
 * <p>Safe for use by several threads.
 */
public enum LedgerState {
  /** An entry holds the key and has not been let start. */
  RESERVED,

  /** An entry was let start. */
  STARTED,

  /** It ran and was answered. */
  ANSWERED,

  /** It may have run. */
  UNKNOWN,

  /** It is proved that it did not run: the key is free. */
  RELEASED;

  /** Returns what another request with the key is told; not for {@code RELEASED}. */
  ErrorKind refusal() {
    return switch (this) {
      case RESERVED, STARTED -> ErrorKind.KEY_IN_PROGRESS;
      case ANSWERED -> ErrorKind.KEY_ALREADY_RAN;
      case UNKNOWN -> ErrorKind.KEY_OUTCOME_UNKNOWN;
      case RELEASED -> throw new IllegalStateException("a released key refuses nobody");
    };
  }

  boolean isOpen() {
    return this == RESERVED || this == STARTED;
  }

  /**
   * Returns whether the holder's word of its outcome changes this state. What ran stays run, and
   * what was released was proved not to have started; a late message undoes neither.
   */
  boolean yieldsTo(LedgerState outcome) {
    return isOpen() || (this == UNKNOWN && outcome != UNKNOWN);
  }

  /** Returns the state that an outcome leaves. */
  static LedgerState after(OutcomeClass outcome) {
    return switch (outcome) {
      case ANSWERED -> ANSWERED;
      case NOT_RUN -> RELEASED;
      case UNKNOWN -> UNKNOWN;
    };
  }
}
