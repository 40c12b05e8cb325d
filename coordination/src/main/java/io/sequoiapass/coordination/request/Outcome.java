package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.AdapterVersion;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Outcome of a request: answered, proved not run, or unknown.
 *
 * <pre>{@code
 * Outcome outcome = Outcome.notRun(ErrorKind.DRAINING, NotRunProof.neverLeftEntry());
 * response.setHeader("Outcome", outcome.outcomeClass().name());
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface Outcome {

  /** Returns the outcome class sent to the caller. */
  OutcomeClass outcomeClass();

  /** Returns the error, or empty for an answer. */
  Optional<ErrorKind> error();

  /** Returns the retry time in milliseconds, or empty if there is none. */
  default OptionalLong comeBackMillis() {
    return OptionalLong.empty();
  }

  /**
   * Returns a NOT RUN with the default retry time of its kind.
   *
   * @param kind a kind of the class {@code NOT_RUN}
   * @param proof the proof that it did not run
   */
  static NotRun notRun(ErrorKind kind, NotRunProof proof) {
    return new NotRun(kind, proof, kind.comeBackMillis());
  }

  /**
   * Returns a NOT RUN with a given retry time.
   *
   * @param kind a kind of the class {@code NOT_RUN}
   * @param proof the proof that it did not run
   * @param comeBackMillis when to retry, in milliseconds
   */
  static NotRun notRun(ErrorKind kind, NotRunProof proof, long comeBackMillis) {
    return new NotRun(kind, proof, OptionalLong.of(comeBackMillis));
  }

  /**
   * Returns an UNKNOWN.
   *
   * @param kind a kind of the class {@code UNKNOWN}
   */
  static Unknown unknown(ErrorKind kind) {
    return new Unknown(kind);
  }

  /**
   * The complete answer was delivered.
   *
   * @param ranOn the adapter and version, or empty for a plain service
   * @param tokens the number of tokens of the answer, zero for a plain service
   */
  record Answered(Optional<AdapterVersion> ranOn, int tokens) implements Outcome {

    /** Validates the components. */
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
   * @param kind the reason of the refusal
   * @param proof the proof that it did not run
   * @param comeBackMillis when to retry, in milliseconds, or empty
   */
  record NotRun(ErrorKind kind, NotRunProof proof, OptionalLong comeBackMillis) implements Outcome {

    /** Validates the kind and the proof. */
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
   * @param kind the error
   */
  record Unknown(ErrorKind kind) implements Outcome {

    /** Validates the kind. */
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
