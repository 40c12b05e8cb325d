package io.sequoiapass.coordination.request;

import static io.sequoiapass.coordination.request.OutcomeClass.NOT_RUN;
import static io.sequoiapass.coordination.request.OutcomeClass.UNKNOWN;
import static io.sequoiapass.coordination.request.RetryAdvice.CHANGE_FIRST;
import static io.sequoiapass.coordination.request.RetryAdvice.IF_REPEATABLE;
import static io.sequoiapass.coordination.request.RetryAdvice.SAFE;
import static io.sequoiapass.coordination.request.RetryAdvice.SAME_KEY_ONLY;

import java.util.OptionalLong;

/**
 * Lists every reason for which a request ends without its answer, with what the caller is told.
 *
 * <pre>{@code
 * response.setStatus(kind.httpStatus());
 * kind.comeBackMillis().ifPresent(response::setRetryAfterMillis);
 * }</pre>
 *
 * <p>{@code docs/ERRORS.md} holds the same table; a test compares both. Safe for use by several
 * threads.
 */
public enum ErrorKind {
  /** The request could not be read. */
  MALFORMED_REQUEST(400, NOT_RUN, CHANGE_FIRST, "The request could not be read."),
  /** Line or headers beyond the limit. */
  HEADERS_TOO_LARGE(431, NOT_RUN, CHANGE_FIRST, "Request line or headers are too large."),
  /** Body beyond the limit. */
  BODY_TOO_LARGE(413, NOT_RUN, CHANGE_FIRST, "The body is too large."),
  /** The deadline is no number, not positive or too far away. */
  BAD_DEADLINE(400, NOT_RUN, CHANGE_FIRST, "The deadline is not a number within the limits."),
  /** No such base model. */
  UNKNOWN_MODEL(404, NOT_RUN, CHANGE_FIRST, "No such model."),
  /** No such adapter. */
  UNKNOWN_ADAPTER(404, NOT_RUN, CHANGE_FIRST, "No such adapter."),
  /** The adapter has no such version. */
  UNKNOWN_VERSION(404, NOT_RUN, CHANGE_FIRST, "The adapter has no such version."),
  /** No such service. */
  UNKNOWN_SERVICE(404, NOT_RUN, CHANGE_FIRST, "No such service."),
  /** The service may not use this adapter. */
  NOT_ALLOWED(403, NOT_RUN, CHANGE_FIRST, "The service may not use this adapter."),
  /** The idempotency key stands for another body. */
  KEY_REUSED(422, NOT_RUN, CHANGE_FIRST, "The key was used with another body."),
  /** A request with this key is under way; the work of the key may run. */
  KEY_IN_PROGRESS(409, UNKNOWN, SAME_KEY_ONLY, 1_000, "A request with this key is under way."),
  /**
   * The work of this key has run. Never NOT RUN: to the caller, the same key is the same work, and
   * it would send that again under a fresh key.
   */
  KEY_ALREADY_RAN(409, UNKNOWN, SAME_KEY_ONLY, "The work of this key has run already."),
  /** An earlier request with this key ended unknown. */
  KEY_OUTCOME_UNKNOWN(409, UNKNOWN, SAME_KEY_ONLY, "The work of this key may have run."),
  /** The daemon holds more work than it can do. */
  OVERLOADED(503, NOT_RUN, SAFE, 1_000, "More work arrives than can be done."),
  /** The queue of this service and priority is full. */
  QUEUE_FULL(429, NOT_RUN, SAFE, 1_000, "The queue of this service is full."),
  /** Waiting would take longer than the deadline leaves. */
  DEADLINE_UNREACHABLE(503, NOT_RUN, SAFE, 1_000, "The deadline cannot be met under this load."),
  /** The deadline passed before the request started. */
  DEADLINE_PASSED(504, NOT_RUN, SAFE, 1_000, "The deadline passed before the request started."),
  /** The deadline passed while the request may have been running. */
  DEADLINE_PASSED_AFTER_START(504, UNKNOWN, IF_REPEATABLE, "The deadline passed after the start."),
  /** No endpoint can take it. */
  NO_ENDPOINT(503, NOT_RUN, SAFE, 1_000, "No endpoint can take the request."),
  /** The adapter could not be loaded. */
  LOAD_FAILED(502, NOT_RUN, SAFE, 2_000, "The adapter could not be loaded."),
  /** The endpoint or its owner was lost before the start. */
  ENDPOINT_LOST_BEFORE_START(503, NOT_RUN, SAFE, 500, "The endpoint was lost before the start."),
  /** The endpoint or its owner was lost after the start. */
  ENDPOINT_LOST_AFTER_START(502, UNKNOWN, IF_REPEATABLE, "The endpoint was lost after the start."),
  /** The answer ended before its end. */
  STREAM_SHORT(502, UNKNOWN, IF_REPEATABLE, "The answer was cut short."),
  /** The answer names another request, adapter or version. */
  ANSWER_MISMATCH(502, UNKNOWN, IF_REPEATABLE, "The answer did not match the request."),
  /** The record of idempotency keys cannot be asked, or is too young to know. */
  LEDGER_UNAVAILABLE(503, NOT_RUN, SAFE, 2_000, "The record of this key cannot be asked now."),
  /** This daemon stops and takes no new work. */
  DRAINING(503, NOT_RUN, SAFE, 100, "This daemon is stopping."),
  /** No configuration was learnt yet, from the platform or a peer. */
  NO_CONFIGURATION(503, NOT_RUN, SAFE, 2_000, "No configuration has been learnt yet."),
  /** The caller left before the start; only logs and metrics show it. */
  CALLER_LEFT_BEFORE_START(499, NOT_RUN, SAFE, "The caller left before the start."),
  /** The caller left; only logs and metrics show it. */
  CALLER_LEFT(499, UNKNOWN, IF_REPEATABLE, "The caller left."),
  /** A fault of ours; nothing is claimed about the run. */
  INTERNAL(500, UNKNOWN, IF_REPEATABLE, "Internal error.");

  private static final long NO_COME_BACK = -1;

  private final int httpStatus;
  private final OutcomeClass outcomeClass;
  private final RetryAdvice retryAdvice;
  private final long comeBackMillis;
  private final String message;

  ErrorKind(int httpStatus, OutcomeClass outcomeClass, RetryAdvice retryAdvice, String message) {
    this(httpStatus, outcomeClass, retryAdvice, NO_COME_BACK, message);
  }

  ErrorKind(
      int httpStatus,
      OutcomeClass outcomeClass,
      RetryAdvice retryAdvice,
      long comeBackMillis,
      String message) {
    this.httpStatus = httpStatus;
    this.outcomeClass = outcomeClass;
    this.retryAdvice = retryAdvice;
    this.comeBackMillis = comeBackMillis;
    this.message = message;
  }

  /** Returns the status of the HTTP answer. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns what is known about the run: {@code NOT_RUN} or {@code UNKNOWN}. */
  public OutcomeClass outcomeClass() {
    return outcomeClass;
  }

  /** Returns what a caller may do next. */
  public RetryAdvice retryAdvice() {
    return retryAdvice;
  }

  /** Returns when to come back if nothing better is known, in milliseconds; empty if never due. */
  public OptionalLong comeBackMillis() {
    return comeBackMillis == NO_COME_BACK ? OptionalLong.empty() : OptionalLong.of(comeBackMillis);
  }

  /** Returns the sentence for the body. */
  public String message() {
    return message;
  }
}
