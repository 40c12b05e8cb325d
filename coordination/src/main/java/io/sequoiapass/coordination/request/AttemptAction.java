package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.EndpointId;
import java.util.Optional;
import java.util.Set;

/**
 * Is what the entry has to do next for a request, as its {@link RequestAttempts} decided.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface AttemptAction {

  /** Tells an owner what it may do with an attempt. */
  enum Mode {
    /** Run the request. */
    RUN,
    /** Go on with the engine's stream if it still has it, else run from the offset on. */
    ATTACH_OR_RUN,
    /** Go on with the engine's stream; never run anything. */
    ATTACH_ONLY
  }

  /**
   * Send an attempt, then tell {@link AttemptEvent.Routed} or {@link AttemptEvent.Unroutable}.
   *
   * @param attempt its number, from one
   * @param mode what the owner may do
   * @param resumeFrom the first token that is still wanted
   * @param prefer the endpoint that may still have the stream; a must for {@code ATTACH_ONLY}
   * @param avoid endpoints that failed this request
   */
  record Send(
      int attempt, Mode mode, int resumeFrom, Optional<EndpointId> prefer, Set<EndpointId> avoid)
      implements AttemptAction {}

  /**
   * Ask the home of the key to record the start, then tell {@link AttemptEvent.StartRecorded}.
   *
   * @param attempt the attempt
   */
  record RecordStart(int attempt) implements AttemptAction {}

  /**
   * Tell the owner that it may start; from here on a failure is UNKNOWN.
   *
   * @param attempt the attempt
   */
  record GrantStart(int attempt) implements AttemptAction {}

  /**
   * Tell the owner that it may never start this attempt.
   *
   * @param attempt the attempt
   */
  record DenyStart(int attempt) implements AttemptAction {}

  /**
   * Tell the owner to drop the attempt and to cancel it at the endpoint.
   *
   * @param attempt the attempt
   */
  record Cancel(int attempt) implements AttemptAction {}

  /**
   * Hand a token on to the caller.
   *
   * @param token the token, next in order
   */
  record Deliver(AnswerFrame.Token token) implements AttemptAction {}

  /**
   * Tell the caller the outcome; the last action of a request besides denials.
   *
   * @param outcome the outcome
   */
  record End(Outcome outcome) implements AttemptAction {}
}
