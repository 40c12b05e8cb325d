package io.sequoiapass.daemon.connection.platform;

/** Thrown when a read of the platform fails. */
public final class PlatformException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Reason for the failure. */
  public enum Reason {
    /** The platform has discarded the history that the watch needs; list the objects again. */
    HISTORY_GONE,
    /** The platform's rate limit was exceeded. */
    THROTTLED,
    /** The platform did not answer, or answered with an error. */
    UNAVAILABLE
  }

  private final Reason reason;
  private final long retryAfterMs;

  PlatformException(Reason reason, long retryAfterMs, String message) {
    super(message);
    this.reason = reason;
    this.retryAfterMs = retryAfterMs;
  }

  /** Returns the reason for the failure. */
  public Reason reason() {
    return reason;
  }

  /** Returns the delay before a retry that the platform requests, in milliseconds; 0 if none. */
  public long retryAfterMs() {
    return retryAfterMs;
  }
}
