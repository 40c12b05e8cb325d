package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.EndpointId;
import java.util.Objects;
import java.util.Optional;

/** Holds the state of one attempt; not safe for use by several threads. */
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
  private boolean produced;
  private boolean heard;
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

  /** Returns whether this attempt could make an endpoint begin the work. */
  boolean mayRun() {
    return mode != AttemptAction.Mode.ATTACH_ONLY;
  }

  Optional<EndpointId> endpoint() {
    return Optional.ofNullable(endpoint);
  }

  /** Returns the endpoint that may have its stream: where it went, or should have gone. */
  Optional<EndpointId> streamAt() {
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

  boolean recordsStart() {
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

  void produced() {
    produced = true;
    heard = true;
  }

  void heard() {
    heard = true;
  }

  /** Returns whether the owner has said anything about this attempt. */
  boolean wasHeard() {
    return heard;
  }

  AttemptAction.Mode mode() {
    return mode;
  }

  boolean hasProduced() {
    return produced;
  }

  /** Ends the attempt with the proof that it did not run. */
  void closeNotRun(NotRunProof why) {
    proof = Objects.requireNonNull(why, "proof");
    state = State.CLOSED;
  }

  /** Ends the attempt without knowing whether it ran. */
  void closeUnresolved() {
    state = State.CLOSED;
  }

  /** Returns whether it may have run, now or later. */
  boolean isUnresolved() {
    return mayRun() && proof == null;
  }

  NotRunProof proof() {
    return proof;
  }
}
