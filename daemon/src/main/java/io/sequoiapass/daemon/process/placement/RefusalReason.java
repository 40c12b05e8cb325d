package io.sequoiapass.daemon.process.placement;

/** Reason for refusing a request; no part of it ran. */
public enum RefusalReason {
  /** This owner has no endpoint of the request's base model that takes new work. */
  NO_ENDPOINT,
  /** More requests are queued than can be served in time. */
  OVERLOADED,
  /** The adapter failed to load repeatedly. */
  LOAD_FAILED,
  /** The deadline passed before the request could start. */
  DEADLINE_PASSED
}
