package io.sequoiapass.coordination.request;

import static io.sequoiapass.coordination.request.OutcomeClass.NOT_RUN;
import static io.sequoiapass.coordination.request.OutcomeClass.UNKNOWN;
import static io.sequoiapass.coordination.request.RetryAdvice.CHANGE_FIRST;
import static io.sequoiapass.coordination.request.RetryAdvice.IF_REPEATABLE;
import static io.sequoiapass.coordination.request.RetryAdvice.SAFE;
import static io.sequoiapass.coordination.request.RetryAdvice.SAME_KEY_ONLY;

import java.util.OptionalLong;

/**
 * Reasons for which a request ends without its answer, with the HTTP status and message sent to the
 * caller.
 *
 * <pre>{@code
 * response.setStatus(kind.httpStatus());
 * kind.comeBackMillis().ifPresent(response::setRetryAfterMillis);
 * }</pre>
 *
 * <p>{@code docs/ERRORS.md} contains the same table; a test compares both. Safe for use by several
 * threads.
 */
public enum ErrorKind {
  /** The request could not be read. */
  MALFORMED_REQUEST(400, NOT_RUN, CHANGE_FIRST, "The request could not be read."),
  /** The request line or headers exceed the limit. */
  HEADERS_TOO_LARGE(431, NOT_RUN, CHANGE_FIRST, "Request line or headers are too large."),
  /** The body exceeds the limit. */
  BODY_TOO_LARGE(413, NOT_RUN, CHANGE_FIRST, "The body is too large."),
  /** The deadline is not a number, not positive or too far in the future. */
  BAD_DEADLINE(400, NOT_RUN, CHANGE_FIRST, "The deadline is not a number within the limits."),
  /** The base model does not exist. */
  UNKNOWN_MODEL(404, NOT_RUN, CHANGE_FIRST, "No such model."),
  /** The adapter does not exist. */
  UNKNOWN_ADAPTER(404, NOT_RUN, CHANGE_FIRST, "No such adapter."),
  /** The adapter does not have this version. */
  UNKNOWN_VERSION(404, NOT_RUN, CHANGE_FIRST, "The adapter has no such version."),
  /** The service does not exist. */
  UNKNOWN_SERVICE(404, NOT_RUN, CHANGE_FIRST, "No such service."),
  /** The route needs an API key, and the request bears none that the configuration knows. */
  UNAUTHORIZED(401, NOT_RUN, CHANGE_FIRST, "The API key is missing or unknown."),
  /** The service may not use this adapter. */
  NOT_ALLOWED(403, NOT_RUN, CHANGE_FIRST, "The service may not use this adapter."),
  /** The idempotency key was used with another body. */
  KEY_REUSED(422, NOT_RUN, CHANGE_FIRST, "The key was used with another body."),
  /** A request with this key is in progress; its work may run. */
  KEY_IN_PROGRESS(409, UNKNOWN, SAME_KEY_ONLY, 1_000, "A request with this key is under way."),
  /**
   * The work of this key has run. Not of the class {@code NOT_RUN}: to the caller the same key is
   * the same work, and it would send that work again under a new key.
   */
  KEY_ALREADY_RAN(409, UNKNOWN, SAME_KEY_ONLY, "The work of this key has run already."),
  /** An earlier request with this key ended with an unknown outcome. */
  KEY_OUTCOME_UNKNOWN(409, UNKNOWN, SAME_KEY_ONLY, "The work of this key may have run."),
  /** The daemon has more work than it can serve. */
  OVERLOADED(503, NOT_RUN, SAFE, 1_000, "More work arrives than can be done."),
  /** The queue of this service and priority is full. */
  QUEUE_FULL(429, NOT_RUN, SAFE, 1_000, "The queue of this service is full."),
  /** The workspace has used up its usage limit. */
  USAGE_LIMIT(429, NOT_RUN, SAFE, 1_000, "The workspace has reached its usage limit."),
  /** The expected wait exceeds the time left until the deadline. */
  DEADLINE_UNREACHABLE(503, NOT_RUN, SAFE, 1_000, "The deadline cannot be met under this load."),
  /** The deadline passed before the request started. */
  DEADLINE_PASSED(504, NOT_RUN, SAFE, 1_000, "The deadline passed before the request started."),
  /** The deadline passed while the request may have been running. */
  DEADLINE_PASSED_AFTER_START(504, UNKNOWN, IF_REPEATABLE, "The deadline passed after the start."),
  /** No endpoint can take the request. */
  NO_ENDPOINT(503, NOT_RUN, SAFE, 1_000, "No endpoint can take the request."),
  /**
   * No endpoint of the software version that began the stream is known, or nobody knows that
   * version; other versions must not continue it.
   */
  STREAM_NOT_RESUMABLE(503, NOT_RUN, CHANGE_FIRST, "The stream cannot continue; begin it anew."),
  /** A part of the prompt has ended each endpoint that began to write an answer on it. */
  PROMPT_CRASHES_ENDPOINTS(503, NOT_RUN, CHANGE_FIRST, "A part of the prompt crashes endpoints."),
  /** This daemon has no path to the endpoints, and no peer that has one; others may have one. */
  ENDPOINTS_UNREACHABLE(503, NOT_RUN, SAFE, 100, "This daemon cannot reach the endpoints."),
  /** The adapter could not be loaded. */
  LOAD_FAILED(502, NOT_RUN, SAFE, 2_000, "The adapter could not be loaded."),
  /** The endpoint or its owner was lost before the start. */
  ENDPOINT_LOST_BEFORE_START(503, NOT_RUN, SAFE, 500, "The endpoint was lost before the start."),
  /** The endpoint or its owner was lost after the start. */
  ENDPOINT_LOST_AFTER_START(502, UNKNOWN, IF_REPEATABLE, "The endpoint was lost after the start."),
  /** The answer was truncated. */
  STREAM_SHORT(502, UNKNOWN, IF_REPEATABLE, "The answer was cut short."),
  /** The answer names another request, adapter or version. */
  ANSWER_MISMATCH(502, UNKNOWN, IF_REPEATABLE, "The answer did not match the request."),
  /** The idempotency ledger is unreachable, or its primary replica may lack records of the key. */
  LEDGER_UNAVAILABLE(503, NOT_RUN, SAFE, 2_000, "The record of this key cannot be asked now."),
  /** This daemon is stopping and takes no new work. */
  DRAINING(503, NOT_RUN, SAFE, 100, "This daemon is stopping."),
  /** This daemon stopped while the request may have been running. */
  STOPPED_AFTER_START(502, UNKNOWN, IF_REPEATABLE, "This daemon stopped after the start."),
  /** No configuration has been received from the platform or a peer. */
  NO_CONFIGURATION(503, NOT_RUN, SAFE, 2_000, "No configuration has been learnt yet."),
  /** It cannot be proved that the known configuration, and so the API key, is still in force. */
  CONFIGURATION_NOT_CURRENT(
      503, NOT_RUN, SAFE, 500, "The configuration cannot be confirmed at present."),
  /** The caller left before the start; visible only in logs and metrics. */
  CALLER_LEFT_BEFORE_START(499, NOT_RUN, SAFE, "The caller left before the start."),
  /** The caller left; visible only in logs and metrics. */
  CALLER_LEFT(499, UNKNOWN, IF_REPEATABLE, "The caller left."),
  /** Internal fault; the request may or may not have run. */
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

  /** Returns the HTTP status code. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the outcome class: {@code NOT_RUN} or {@code UNKNOWN}. */
  public OutcomeClass outcomeClass() {
    return outcomeClass;
  }

  /** Returns the retry advice for the caller. */
  public RetryAdvice retryAdvice() {
    return retryAdvice;
  }

  /** Returns the default retry time in milliseconds, or empty if a retry is of no use. */
  public OptionalLong comeBackMillis() {
    return comeBackMillis == NO_COME_BACK ? OptionalLong.empty() : OptionalLong.of(comeBackMillis);
  }

  /** Returns the message for the response body. */
  public String message() {
    return message;
  }
}
