package io.sequoiapass.coordination.process;

/** What a retry is for, which decides who goes first while the budget is short. */
public enum RetryPurpose {
  /**
   * Repeats a request that has lost its answer, or sends it a second time beside a silent attempt.
   */
  REPEAT(true),

  /** Continues a stream that its caller has begun to receive, and that is cut otherwise. */
  CONTINUATION(false);

  private final boolean yields;

  RetryPurpose(boolean yields) {
    this.yields = yields;
  }

  /** Returns whether the retry has to wait while continuations lack budget. */
  boolean yields() {
    return yields;
  }
}
