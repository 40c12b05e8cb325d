package io.sequoiapass.gateway.spi;

/** Thrown if a read of the platform's store fails. */
public final class StoreException extends Exception {

  /** The reason of the failure. */
  public enum Reason {
    /** The store has compacted the history after the requested revision; list again. */
    HISTORY_GONE,
    /** The store rejected the call and did nothing. */
    REFUSED,
    /** No answer was received, or it was malformed. */
    NO_ANSWER
  }

  private static final long serialVersionUID = 1L;

  private final Reason reason;

  /**
   * Creates an exception.
   *
   * @param reason the reason
   * @param message details for a log line
   */
  public StoreException(Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  /** Returns the reason. */
  public Reason reason() {
    return reason;
  }

  /**
   * Returns the reason of a failed read, searching the chain of causes; {@link Reason#NO_ANSWER} if
   * it has none.
   *
   * @param failure the failure
   */
  public static Reason reasonOf(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof StoreException known) {
        return known.reason();
      }
    }
    return Reason.NO_ANSWER;
  }
}
