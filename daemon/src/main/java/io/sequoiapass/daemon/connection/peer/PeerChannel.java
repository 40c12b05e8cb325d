package io.sequoiapass.daemon.connection.peer;

/** Is one open connection to a peer; safe for use by several threads. */
public interface PeerChannel {

  /**
   * Sends a message, unless the connection has closed.
   *
   * @param message the message
   * @return false if the connection is known to be closed
   */
  boolean send(PeerMessage message);

  /** Returns whether the connection takes more without queueing in memory. */
  boolean writable();

  /** Closes the connection. */
  void close();
}
