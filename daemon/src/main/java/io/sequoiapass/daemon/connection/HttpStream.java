package io.sequoiapass.daemon.connection;

/** Controls one response in progress; thread-safe. */
public interface HttpStream {

  /** Stops reading from the connection, so that TCP flow control holds back the sender. */
  void pause();

  /** Resumes reading. */
  void resume();

  /** Closes the connection; the listener receives no further events. */
  void cancel();
}
