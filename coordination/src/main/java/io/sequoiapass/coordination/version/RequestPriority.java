package io.sequoiapass.coordination.version;

/** How urgent a request is, most urgent first. */
public enum RequestPriority {
  /** Has a deadline that somebody waits for. */
  DEADLINE,
  /** Somebody waits. */
  INTERACTIVE,
  /** Nobody waits. */
  BATCH
}
