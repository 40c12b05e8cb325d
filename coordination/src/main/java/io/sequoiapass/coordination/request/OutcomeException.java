package io.sequoiapass.coordination.request;

import java.util.Objects;

/**
 * Ends a request before its answer, with the outcome that the caller is told.
 *
 * <pre>{@code
 * throw OutcomeException.refused(ErrorKind.UNKNOWN_ADAPTER, name);
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class OutcomeException extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient Outcome outcome;

  /**
   * Creates an exception.
   *
   * @param outcome a NOT RUN or an UNKNOWN
   * @param detail what helps the caller, such as the offending value
   */
  public OutcomeException(Outcome outcome, String detail) {
    super(Objects.requireNonNull(detail, "detail"));
    if (outcome.error().isEmpty()) {
      throw new IllegalArgumentException("an answer is no error: " + outcome);
    }
    this.outcome = outcome;
  }

  /** Returns the refusal of a request that has not left the entry. */
  public static OutcomeException refused(ErrorKind kind, String detail) {
    return new OutcomeException(Outcome.notRun(kind, NotRunProof.neverLeftEntry()), detail);
  }

  /** Returns how the request ended. */
  public Outcome outcome() {
    return outcome;
  }
}
