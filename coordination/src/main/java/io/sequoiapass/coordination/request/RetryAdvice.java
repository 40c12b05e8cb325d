package io.sequoiapass.coordination.request;

/**
 * Advice to a caller on whether resending the same request is safe and useful.
 *
 * <p>Safe for use by several threads.
 */
public enum RetryAdvice {
  /** Nothing ran: resend it, after the retry time if there is one. */
  SAFE(true, true),

  /** Nothing ran, but the same request would be refused again: change it first. */
  CHANGE_FIRST(true, true),

  /** It may have run: resend it only if a second run is harmless. */
  IF_REPEATABLE(true, false),

  /** The work of this key has run or may have run: never resend it with a new key. */
  SAME_KEY_ONLY(false, false);

  private final boolean safeWhenRepeatable;
  private final boolean safeWhenAtMostOnce;

  RetryAdvice(boolean safeWhenRepeatable, boolean safeWhenAtMostOnce) {
    this.safeWhenRepeatable = safeWhenRepeatable;
    this.safeWhenAtMostOnce = safeWhenAtMostOnce;
  }

  /** Returns whether a retry with a new key is harmless for a request of this kind. */
  public boolean safeFor(Repeatability repeatability) {
    return repeatability.mayRunAgain() ? safeWhenRepeatable : safeWhenAtMostOnce;
  }
}
