package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.EndpointId;
import java.util.Optional;
import java.util.Set;

/**
 * An action that {@link RequestAttempts} requests from the entry daemon.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface AttemptAction {

  /** What an owner may do with an attempt. */
  enum Mode {
    /** Run the request. */
    RUN,
    /** Attach to the engine's stream if it still exists, else run from the offset. */
    ATTACH_OR_RUN,
    /** Attach to the engine's stream; never run the request. */
    ATTACH_ONLY
  }

  /**
   * Sends an attempt; answered by {@link AttemptEvent.Routed} or {@link AttemptEvent.Unroutable}.
   *
   * @param attempt its number, from one
   * @param mode what the owner may do
   * @param resumeFrom index of the first missing token
   * @param prefer the endpoint that may still hold the stream; required for {@code ATTACH_ONLY}
   * @param avoid endpoints that failed this request
   */
  record Send(
      int attempt, Mode mode, int resumeFrom, Optional<EndpointId> prefer, Set<EndpointId> avoid)
      implements AttemptAction {}

  /**
   * Requests that the key's primary replica records the start; answered by {@link
   * AttemptEvent.StartRecorded} or {@link AttemptEvent.StartRefused}.
   *
   * @param attempt the attempt
   */
  record RecordStart(int attempt) implements AttemptAction {}

  /**
   * Permits the owner to start; a failure after this is UNKNOWN.
   *
   * @param attempt the attempt
   */
  record GrantStart(int attempt) implements AttemptAction {}

  /**
   * Denies the owner the start of this attempt permanently.
   *
   * @param attempt the attempt
   */
  record DenyStart(int attempt) implements AttemptAction {}

  /**
   * Requests that the owner drop the attempt and cancel it at the endpoint.
   *
   * @param attempt the attempt
   */
  record Cancel(int attempt) implements AttemptAction {}

  /**
   * Delivers a token to the caller.
   *
   * @param token the next token in order
   */
  record Deliver(AnswerFrame.Token token) implements AttemptAction {}

  /**
   * Sends the outcome to the caller; the last action of a request, except for later denials and
   * cancellations.
   *
   * @param outcome the outcome
   */
  record End(Outcome outcome) implements AttemptAction {}
}
