package io.sequoiapass.coordination.request;

import java.util.Objects;

/**
 * Thrown to end a request without an answer, with the outcome to send to the caller.
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
   * @param detail information for the caller, such as the offending value
   */
  public OutcomeException(Outcome outcome, String detail) {
    super(Objects.requireNonNull(detail, "detail"));
    if (outcome.error().isEmpty()) {
      throw new IllegalArgumentException("outcome is not an error: " + outcome);
    }
    this.outcome = outcome;
  }

  /** Returns the exception for a request that was refused before it left the entry daemon. */
  public static OutcomeException refused(ErrorKind kind, String detail) {
    return new OutcomeException(Outcome.notRun(kind, NotRunProof.neverLeftEntry()), detail);
  }

  /** Returns the outcome of the request. */
  public Outcome outcome() {
    return outcome;
  }
}
