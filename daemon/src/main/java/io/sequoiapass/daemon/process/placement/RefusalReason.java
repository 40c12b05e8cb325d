package io.sequoiapass.daemon.process.placement;

/** Why a request is refused; nothing of it ran. */
public enum RefusalReason {
  /** This owner has no endpoint of the request's base model that takes new work. */
  NO_ENDPOINT,
  /** More requests wait than can be served in time. */
  OVERLOADED,
  /** The adapter failed to load again and again. */
  LOAD_FAILED,
  /** The deadline passed before the request could start. */
  DEADLINE_PASSED
}
