package io.sequoiapass.daemon.connection;

/** Controls one response in progress; thread-safe. */
public interface HttpStream {

  /**
   * Stops reading from the connection. TCP flow control then holds back the sender, so the response
   * does not queue in memory.
   */
  void pause();

  /** Resumes reading. */
  void resume();

  /** Returns the bytes of the request that have not been passed to the connection's socket. */
  long unsentBytes();

  /** Closes the connection; the listener receives no further events. */
  void cancel();
}
