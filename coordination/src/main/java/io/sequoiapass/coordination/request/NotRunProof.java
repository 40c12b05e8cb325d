package io.sequoiapass.coordination.request;

import java.util.List;
import java.util.Objects;

/**
 * Evidence that a request did not run; required to create an {@link Outcome.NotRun}.
 *
 * <pre>{@code
 * Outcome refused = Outcome.notRun(ErrorKind.QUEUE_FULL, NotRunProof.neverLeftEntry());
 * }</pre>
 *
 * <p>Instances are created only by factory methods, each for a situation in which no endpoint can
 * have started the work. A lost connection or a timeout is deliberately excluded: an endpoint may
 * have accepted the request before its answer was lost. Instances are immutable and safe for use by
 * several threads.
 */
public final class NotRunProof {

  /** Situations that prove that a request did not run. */
  public enum Situation {
    /** The entry daemon refused it, or never sent a copy of it. */
    NEVER_LEFT_ENTRY,
    /** The owner reports that it never wrote the request to an endpoint and never will. */
    WITHDRAWN_FROM_QUEUE,
    /** The endpoint itself refused the request. */
    REFUSED_BY_ENDPOINT,
    /**
     * The start needs a grant of the entry daemon, which was not given and can no longer be given.
     */
    START_NOT_GRANTED
  }

  private final Situation situation;

  private NotRunProof(Situation situation) {
    this.situation = situation;
  }

  /** Returns the proof for a request of which no copy was sent to an owner or endpoint. */
  public static NotRunProof neverLeftEntry() {
    return new NotRunProof(Situation.NEVER_LEFT_ENTRY);
  }

  /** Returns the proof for an attempt that its owner has permanently removed from its queue. */
  public static NotRunProof withdrawnFromQueue() {
    return new NotRunProof(Situation.WITHDRAWN_FROM_QUEUE);
  }

  /** Returns the proof for an attempt that the endpoint refused in its own answer. */
  public static NotRunProof refusedByEndpoint() {
    return new NotRunProof(Situation.REFUSED_BY_ENDPOINT);
  }

  /** Returns the proof for an attempt that needs a grant which its entry daemon will never give. */
  public static NotRunProof startNotGranted() {
    return new NotRunProof(Situation.START_NOT_GRANTED);
  }

  /**
   * Returns the proof for a request from the proofs of all its attempts; the proof of one attempt
   * does not cover another.
   *
   * @param attempts the proof of every attempt that was sent, in order; empty if none was sent
   */
  static NotRunProof ofAllAttempts(List<NotRunProof> attempts) {
    attempts.forEach(proof -> Objects.requireNonNull(proof, "proof of an attempt"));
    return attempts.isEmpty() ? neverLeftEntry() : attempts.get(attempts.size() - 1);
  }

  /** Returns the situation that proves it. */
  public Situation situation() {
    return situation;
  }

  @Override
  public String toString() {
    return situation.name();
  }
}
