package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.AdapterVersion;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Tells how a request ended: with its answer, proved not run, or unknown.
 *
 * <pre>{@code
 * Outcome outcome = Outcome.notRun(ErrorKind.DRAINING, NotRunProof.neverLeftEntry());
 * response.setHeader("Outcome", outcome.outcomeClass().name());
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface Outcome {

  /** Returns the class that the caller is told. */
  OutcomeClass outcomeClass();

  /** Returns the error, or empty for an answer. */
  Optional<ErrorKind> error();

  /** Returns when to come back, in milliseconds, or empty if no time is due. */
  default OptionalLong comeBackMillis() {
    return OptionalLong.empty();
  }

  /**
   * Returns a NOT RUN with its kind's own come-back time.
   *
   * @param kind a kind of the class {@code NOT_RUN}
   * @param proof why it cannot have run
   */
  static NotRun notRun(ErrorKind kind, NotRunProof proof) {
    return new NotRun(kind, proof, kind.comeBackMillis());
  }

  /**
   * Returns a NOT RUN with a come-back time that was worked out.
   *
   * @param kind a kind of the class {@code NOT_RUN}
   * @param proof why it cannot have run
   * @param comeBackMillis when to come back
   */
  static NotRun notRun(ErrorKind kind, NotRunProof proof, long comeBackMillis) {
    return new NotRun(kind, proof, OptionalLong.of(comeBackMillis));
  }

  /** Returns an UNKNOWN of a kind of that class. */
  static Unknown unknown(ErrorKind kind) {
    return new Unknown(kind);
  }

  /**
   * The whole answer was handed on.
   *
   * @param ranOn the adapter and version, or empty for a plain service
   * @param tokens the tokens of the answer, zero for a plain service
   */
  record Answered(Optional<AdapterVersion> ranOn, int tokens) implements Outcome {

    /** Checks the parts. */
    public Answered {
      Objects.requireNonNull(ranOn, "ranOn");
      if (tokens < 0) {
        throw new IllegalArgumentException("tokens must not be negative: " + tokens);
      }
    }

    @Override
    public OutcomeClass outcomeClass() {
      return OutcomeClass.ANSWERED;
    }

    @Override
    public Optional<ErrorKind> error() {
      return Optional.empty();
    }
  }

  /**
   * It is proved that the request did not run.
   *
   * @param kind why it was refused
   * @param proof why it cannot have run
   * @param comeBackMillis when to come back, or empty
   */
  record NotRun(ErrorKind kind, NotRunProof proof, OptionalLong comeBackMillis) implements Outcome {

    /** Checks the kind and that there is a proof. */
    public NotRun {
      Objects.requireNonNull(proof, "proof");
      Objects.requireNonNull(comeBackMillis, "comeBackMillis");
      checkClass(kind, OutcomeClass.NOT_RUN);
    }

    @Override
    public OutcomeClass outcomeClass() {
      return OutcomeClass.NOT_RUN;
    }

    @Override
    public Optional<ErrorKind> error() {
      return Optional.of(kind);
    }
  }

  /**
   * The request may have run.
   *
   * @param kind what went wrong
   */
  record Unknown(ErrorKind kind) implements Outcome {

    /** Checks the kind. */
    public Unknown {
      checkClass(kind, OutcomeClass.UNKNOWN);
    }

    @Override
    public OutcomeClass outcomeClass() {
      return OutcomeClass.UNKNOWN;
    }

    @Override
    public Optional<ErrorKind> error() {
      return Optional.of(kind);
    }

    @Override
    public OptionalLong comeBackMillis() {
      return kind.comeBackMillis();
    }
  }

  private static void checkClass(ErrorKind kind, OutcomeClass wanted) {
    if (kind.outcomeClass() != wanted) {
      throw new IllegalArgumentException(kind + " is " + kind.outcomeClass() + ", not " + wanted);
    }
  }
}
