package io.sequoiapass.testbed.load;

/** Tells how a request ended for its caller. */
public enum Verdict {
  /** The whole answer came, from the adapter and version asked for. */
  WHOLE,
  /** Something was wrong with the answer, or with what the caller was told. */
  WRONG,
  /** The caller was told that it did not run, or could not even connect. */
  NOT_RUN,
  /** The caller was told that it may have run, or lost its connection. */
  UNKNOWN,
  /** Nothing came in the time that the caller waited. */
  UNANSWERED
}
