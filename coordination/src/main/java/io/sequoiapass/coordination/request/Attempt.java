package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.EndpointId;
import java.util.Objects;
import java.util.Optional;

/** State of one attempt; not safe for use by several threads. */
final class Attempt {

  private enum State {
    SENT,
    RECORDING_START,
    GRANTED,
    CLOSED
  }

  private final int number;
  private final AttemptAction.Mode mode;
  private State state = State.SENT;
  private boolean everGranted;
  private boolean producedTokens;
  private boolean responded;
  private final Optional<EndpointId> prefer;
  private EndpointId endpoint;
  private NotRunProof proof;

  Attempt(int number, AttemptAction.Mode mode, Optional<EndpointId> prefer) {
    this.number = number;
    this.mode = mode;
    this.prefer = prefer;
  }

  int number() {
    return number;
  }

  /** Returns whether this attempt can cause an endpoint to start the work. */
  boolean mayRun() {
    return mode != AttemptAction.Mode.ATTACH_ONLY;
  }

  Optional<EndpointId> endpoint() {
    return Optional.ofNullable(endpoint);
  }

  /**
   * Returns the endpoint that may hold its stream: the one it was routed to, else the preferred
   * one.
   */
  Optional<EndpointId> streamEndpoint() {
    return endpoint().or(() -> prefer);
  }

  void routed(EndpointId to) {
    endpoint = to;
  }

  boolean isOpen() {
    return state != State.CLOSED;
  }

  boolean awaitsGrant() {
    return state == State.SENT;
  }

  boolean isRecordingStart() {
    return state == State.RECORDING_START;
  }

  void recordStart() {
    state = State.RECORDING_START;
  }

  void grant() {
    state = State.GRANTED;
    everGranted = true;
  }

  boolean everGranted() {
    return everGranted;
  }

  void markProducedTokens() {
    producedTokens = true;
    responded = true;
  }

  void markResponded() {
    responded = true;
  }

  /** Returns whether the owner has responded to this attempt. */
  boolean hasResponded() {
    return responded;
  }

  AttemptAction.Mode mode() {
    return mode;
  }

  boolean hasProducedTokens() {
    return producedTokens;
  }

  /** Closes the attempt with proof that it did not run. */
  void closeNotRun(NotRunProof notRunProof) {
    proof = Objects.requireNonNull(notRunProof, "proof");
    state = State.CLOSED;
  }

  /** Closes the attempt with its result unknown. */
  void closeUnresolved() {
    state = State.CLOSED;
  }

  /** Returns whether it may have run or may still run. */
  boolean isUnresolved() {
    return mayRun() && proof == null;
  }

  NotRunProof proof() {
    return proof;
  }
}
