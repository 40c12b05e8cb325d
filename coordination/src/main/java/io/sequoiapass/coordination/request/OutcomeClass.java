package io.sequoiapass.coordination.request;

/**
 * Outcome classes of a request, as sent in the {@code Outcome} header of the answer.
 *
 * <p>Safe for use by several threads.
 */
public enum OutcomeClass {
  /** The complete answer was delivered. */
  ANSWERED,

  /** It is proved that the request did not run. */
  NOT_RUN,

  /** The request may have run. */
  UNKNOWN
}
