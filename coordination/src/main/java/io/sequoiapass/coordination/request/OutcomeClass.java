package io.sequoiapass.coordination.request;

/**
 * Names the three ways in which a request ends, as the answer's {@code Outcome} header says them.
 *
 * <p>Safe for use by several threads.
 */
public enum OutcomeClass {
  /** The whole answer was handed on. */
  ANSWERED,

  /** It is proved that the request did not run. */
  NOT_RUN,

  /** The request may have run. */
  UNKNOWN
}
