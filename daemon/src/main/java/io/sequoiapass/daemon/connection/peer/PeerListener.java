package io.sequoiapass.daemon.connection.peer;

/** Receives the events of one connection to a peer. Called on its event loop; must not block. */
public interface PeerListener {

  /**
   * Called when the connection has opened.
   *
   * @param channel the connection
   */
  void opened(PeerChannel channel);

  /**
   * Called with each message.
   *
   * @param channel the connection
   * @param message the message
   */
  void received(PeerChannel channel, PeerMessage message);

  /**
   * Called when the connection starts or stops accepting more data.
   *
   * @param channel the connection
   */
  void writabilityChanged(PeerChannel channel);

  /**
   * Called once when the connection has closed.
   *
   * @param channel the connection
   */
  void closed(PeerChannel channel);
}
