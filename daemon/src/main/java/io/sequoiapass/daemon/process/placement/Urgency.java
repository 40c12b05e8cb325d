package io.sequoiapass.daemon.process.placement;

/** How soon a request's caller needs its answer. */
public enum Urgency {
  /** Someone works against a deadline: never waits behind the others. */
  DEADLINE,
  /** A person waits for the answer. */
  INTERACTIVE,
  /** Nobody waits; takes what the others leave. */
  BATCH
}
