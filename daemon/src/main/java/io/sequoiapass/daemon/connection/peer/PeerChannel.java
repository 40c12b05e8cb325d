package io.sequoiapass.daemon.connection.peer;

/** An open connection to a peer. Safe for use by several threads. */
public interface PeerChannel {

  /**
   * Sends a message unless the connection is closed.
   *
   * @param message the message
   * @return false if the connection is known to be closed
   */
  boolean send(PeerMessage message);

  /** Returns whether the connection accepts more data without queueing it in memory. */
  boolean writable();

  /** Closes the connection. */
  void close();
}
