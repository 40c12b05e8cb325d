package io.sequoiapass.daemon.connection;

/** Controls one answer under way; safe for use by several threads. */
public interface HttpStream {

  /** Stops reading from the connection, so that the sender is held by TCP and not by our memory. */
  void pause();

  /** Goes on reading. */
  void resume();

  /** Closes the connection; the listener hears nothing more. */
  void cancel();
}
