package io.sequoiapass.coordination.request;

/**
 * Tells a caller whether sending the same request again is safe and of use.
 *
 * <p>Safe for use by several threads.
 */
public enum RetryAdvice {
  /** Nothing ran: send it again, after the come-back time where there is one. */
  SAFE(true, true),

  /** Nothing ran, but the same request would be refused again: change it first. */
  CHANGE_FIRST(true, true),

  /** It may have run: again only if a second run does no harm. */
  IF_REPEATABLE(true, false),

  /** The work of this key has run or may have run: never again with a fresh key. */
  SAME_KEY_ONLY(false, false);

  private final boolean safeWhenRepeatable;
  private final boolean safeWhenAtMostOnce;

  RetryAdvice(boolean safeWhenRepeatable, boolean safeWhenAtMostOnce) {
    this.safeWhenRepeatable = safeWhenRepeatable;
    this.safeWhenAtMostOnce = safeWhenAtMostOnce;
  }

  /** Returns whether a retry under a fresh key can do no harm to a request of this kind. */
  public boolean safeFor(Repeatability repeatability) {
    return repeatability.mayRunAgain() ? safeWhenRepeatable : safeWhenAtMostOnce;
  }
}
