package io.sequoiapass.daemon.connection;

/** Receives why a server ends connections and responses; called on event loops, must not block. */
public interface ServerObserver {

  /** Ignores all events. */
  ServerObserver NONE =
      new ServerObserver() {
        @Override
        public void closing(CloseReason reason, boolean isRequestOpen, long lateMs) {}

        @Override
        public void failed(Throwable cause) {}
      };

  /**
   * Called when the server closes a connection.
   *
   * @param reason the reason
   * @param isRequestOpen whether a request was received, in part or completely, and has no response
   * @param lateMs how late the event loop was, in milliseconds; 0 if it is not known
   */
  void closing(CloseReason reason, boolean isRequestOpen, long lateMs);

  /**
   * Called when an exception was thrown while a request was received or handled.
   *
   * @param cause the exception
   */
  void failed(Throwable cause);
}
