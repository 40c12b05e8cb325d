package io.sequoiapass.daemon.connection.platform;

/** Tells that the platform did not answer a read. */
public final class PlatformException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Lists why. */
  public enum Reason {
    /** The history that a watch asks for is gone: list again. */
    HISTORY_GONE,
    /** The rate was exceeded. */
    THROTTLED,
    /** No answer, or an error of the platform's. */
    UNAVAILABLE
  }

  private final Reason reason;
  private final long retryAfterMs;

  PlatformException(Reason reason, long retryAfterMs, String message) {
    super(message);
    this.reason = reason;
    this.retryAfterMs = retryAfterMs;
  }

  /** Returns why. */
  public Reason reason() {
    return reason;
  }

  /** Returns when the platform asks to come back, in milliseconds; 0 if it does not say. */
  public long retryAfterMs() {
    return retryAfterMs;
  }
}
