package io.sequoiapass.testbed.load;

/** Class of a request's result, as seen by its caller. */
public enum Verdict {
  /** The complete answer arrived, from the requested adapter and version. */
  COMPLETE,
  /** The answer, or the outcome that was reported to the caller, was wrong. */
  WRONG,
  /** The request was reported as not run, or the caller could not connect. */
  NOT_RUN,
  /** The request was reported as possibly run, or the connection was lost. */
  UNKNOWN,
  /** No complete answer arrived before the caller's timeout. */
  UNANSWERED
}
