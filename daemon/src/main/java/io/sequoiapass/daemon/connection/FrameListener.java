package io.sequoiapass.daemon.connection;

/** Receives the events of one framed connection on its event loop; must not block. */
public interface FrameListener {

  /**
   * Called when the connection has opened.
   *
   * @param channel the connection
   */
  void opened(FrameChannel channel);

  /**
   * Called for each received frame.
   *
   * @param channel the connection
   * @param frame the payload
   * @throws Exception if the frame cannot be decoded; the connection is then closed
   */
  void received(FrameChannel channel, byte[] frame) throws Exception;

  /**
   * Called when {@link FrameChannel#writable} changes.
   *
   * @param channel the connection
   */
  default void writabilityChanged(FrameChannel channel) {}

  /**
   * Called once when the connection has closed or could not be opened.
   *
   * @param channel the connection
   */
  void closed(FrameChannel channel);
}
