package io.sequoiapass.coordination.request;

import java.util.List;
import java.util.Objects;

/**
 * Is the evidence that a request did not run; without one no {@link Outcome.NotRun} can be built.
 *
 * <pre>{@code
 * Outcome refused = Outcome.notRun(ErrorKind.QUEUE_FULL, NotRunProof.neverLeftEntry());
 * }</pre>
 *
 * <p>Only the factories make one, and each names a situation in which no endpoint can have begun
 * the work. A lost connection or a timeout is deliberately not among them: an endpoint may have
 * taken the request before its answer was lost. Instances are immutable and safe for use by several
 * threads.
 */
public final class NotRunProof {

  /** Lists the situations that prove that a request did not run. */
  public enum Situation {
    /** The entry refused it, or no copy of it was ever sent. */
    NEVER_LEFT_ENTRY,
    /** The owner says that it never wrote it to an endpoint and never will. */
    WITHDRAWN_FROM_QUEUE,
    /** The endpoint itself answered that it did not take it. */
    REFUSED_BY_ENDPOINT,
    /** The start needs the entry's grant, which was not given and can no longer be given. */
    START_NOT_GRANTED
  }

  private final Situation situation;

  private NotRunProof(Situation situation) {
    this.situation = situation;
  }

  /** Proves it for a request of which no copy was sent to any owner or endpoint. */
  public static NotRunProof neverLeftEntry() {
    return new NotRunProof(Situation.NEVER_LEFT_ENTRY);
  }

  /** Proves it for an attempt that its owner has removed from its queue for good. */
  public static NotRunProof withdrawnFromQueue() {
    return new NotRunProof(Situation.WITHDRAWN_FROM_QUEUE);
  }

  /** Proves it for an attempt that the endpoint refused in an answer of its own. */
  public static NotRunProof refusedByEndpoint() {
    return new NotRunProof(Situation.REFUSED_BY_ENDPOINT);
  }

  /** Proves it for an attempt that needs a grant and whose entry will never give one. */
  public static NotRunProof startNotGranted() {
    return new NotRunProof(Situation.START_NOT_GRANTED);
  }

  /**
   * Proves it for a request from the proofs of all its attempts; one attempt's proof says nothing
   * about another's.
   *
   * @param attempts the proof of every attempt that was sent, in order; none means none was sent
   */
  static NotRunProof ofAllAttempts(List<NotRunProof> attempts) {
    attempts.forEach(proof -> Objects.requireNonNull(proof, "proof of an attempt"));
    return attempts.isEmpty() ? neverLeftEntry() : attempts.get(attempts.size() - 1);
  }

  /** Returns why it cannot have run. */
  public Situation situation() {
    return situation;
  }

  @Override
  public String toString() {
    return situation.name();
  }
}
