package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.EndpointId;
import java.util.OptionalLong;

/**
 * Is something that happened to a request, told to its {@link RequestAttempts}.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface AttemptEvent {

  /**
   * The attempt was sent to the owner of this endpoint.
   *
   * @param attempt the attempt
   * @param endpoint where it goes
   */
  record Routed(int attempt, EndpointId endpoint) implements AttemptEvent {}

  /**
   * Nothing was sent for this attempt: no endpoint can take it.
   *
   * @param attempt the attempt
   * @param kind why, of the class {@code NOT_RUN}
   */
  record Unroutable(int attempt, ErrorKind kind) implements AttemptEvent {}

  /**
   * The owner is about to write to the endpoint and asks whether it may.
   *
   * @param attempt the attempt
   */
  record StartAsked(int attempt) implements AttemptEvent {}

  /**
   * The home of the request's key has recorded its start.
   *
   * @param attempt the attempt
   */
  record StartRecorded(int attempt) implements AttemptEvent {}

  /**
   * The home of the request's key did not let it start, or did not answer.
   *
   * @param attempt the attempt
   * @param kind what the caller is told
   */
  record StartRefused(int attempt, ErrorKind kind) implements AttemptEvent {}

  /**
   * A frame of the answer arrived.
   *
   * @param frame the frame
   */
  record Frame(AnswerFrame frame) implements AttemptEvent {}

  /**
   * The owner says, with proof, that this attempt did not run and will not.
   *
   * @param attempt the attempt
   * @param kind why, of the class {@code NOT_RUN}
   * @param proof the owner's proof
   * @param comeBackMillis when the owner expects room, or empty
   */
  record Refused(int attempt, ErrorKind kind, NotRunProof proof, OptionalLong comeBackMillis)
      implements AttemptEvent {}

  /**
   * The link to the owner broke, or the owner is gone; the endpoint may go on.
   *
   * @param attempt the attempt
   */
  record OwnerLost(int attempt) implements AttemptEvent {}

  /**
   * The owner says that it lost the endpoint in the middle, or got an answer without its end.
   *
   * @param attempt the attempt
   */
  record EndpointLost(int attempt) implements AttemptEvent {}

  /**
   * The caller's connection takes no more for now, or takes more again.
   *
   * @param paused whether reading of the answer was stopped
   */
  record Flow(boolean paused) implements AttemptEvent {}

  /** The caller closed its connection. */
  record CallerLeft() implements AttemptEvent {}

  /** Time went by; due at {@link RequestAttempts#nextTickMillis()}. */
  record Tick() implements AttemptEvent {}
}
