package io.sequoiapass.gateway.spi;

/** Says why a read of the platform's store gave no answer. */
public final class StoreException extends Exception {

  /** Names the reasons. */
  public enum Reason {
    /** The history after the asked revision is gone; list again. */
    HISTORY_GONE,
    /** The store refused the call and did nothing. */
    REFUSED,
    /** No answer came, or none that can be read. */
    NO_ANSWER
  }

  private static final long serialVersionUID = 1L;

  private final Reason reason;

  /**
   * Makes an exception.
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
   * Returns the reason of a failed read, however it was wrapped on its way.
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
