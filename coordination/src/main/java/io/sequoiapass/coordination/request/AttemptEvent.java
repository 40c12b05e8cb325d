package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.EndpointId;
import java.util.OptionalLong;

/**
 * An event of a request, handled by its {@link RequestAttempts}.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface AttemptEvent {

  /**
   * The attempt was sent to the owner of this endpoint.
   *
   * @param attempt the attempt
   * @param endpoint the endpoint it was routed to
   */
  record Routed(int attempt, EndpointId endpoint) implements AttemptEvent {}

  /**
   * Nothing was sent for this attempt because no endpoint can take it.
   *
   * @param attempt the attempt
   * @param kind the reason, of the class {@code NOT_RUN}
   */
  record Unroutable(int attempt, ErrorKind kind) implements AttemptEvent {}

  /**
   * The owner requests permission to write to the endpoint.
   *
   * @param attempt the attempt
   */
  record StartRequested(int attempt) implements AttemptEvent {}

  /**
   * The primary replica of the request's key has recorded its start.
   *
   * @param attempt the attempt
   */
  record StartRecorded(int attempt) implements AttemptEvent {}

  /**
   * The primary replica of the request's key refused the start or did not reply.
   *
   * @param attempt the attempt
   * @param kind the error sent to the caller
   */
  record StartRefused(int attempt, ErrorKind kind) implements AttemptEvent {}

  /**
   * A frame of the answer arrived.
   *
   * @param frame the frame
   */
  record Frame(AnswerFrame frame) implements AttemptEvent {}

  /**
   * The owner reports, with proof, that this attempt did not run and will not run.
   *
   * @param attempt the attempt
   * @param kind the reason, of the class {@code NOT_RUN}
   * @param proof the owner's proof
   * @param comeBackMillis when the owner expects free capacity, in milliseconds, or empty
   */
  record Refused(int attempt, ErrorKind kind, NotRunProof proof, OptionalLong comeBackMillis)
      implements AttemptEvent {}

  /**
   * The link to the owner broke or the owner failed; the endpoint may still be running the work.
   *
   * @param attempt the attempt
   */
  record OwnerLost(int attempt) implements AttemptEvent {}

  /**
   * The owner reports that it lost the endpoint during the request, or received an answer without
   * its end.
   *
   * @param attempt the attempt
   */
  record EndpointLost(int attempt) implements AttemptEvent {}

  /**
   * The caller's connection applies or releases backpressure.
   *
   * @param paused whether reading of the answer is stopped
   */
  record Flow(boolean paused) implements AttemptEvent {}

  /** The caller closed its connection. */
  record CallerLeft() implements AttemptEvent {}

  /** Time has passed; due at {@link RequestAttempts#nextTickMillis()}. */
  record Tick() implements AttemptEvent {}
}
