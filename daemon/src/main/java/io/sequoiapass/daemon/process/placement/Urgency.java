package io.sequoiapass.daemon.process.placement;

/** How soon the answer to a request is needed. */
public enum Urgency {
  /** Someone works to a deadline: never waits behind the others. */
  DEADLINE,
  /** A person waits for the answer. */
  INTERACTIVE,
  /** Nobody waits for the answer; uses the capacity that the others leave. */
  BATCH
}
