package io.sequoiapass.daemon.connection;

/** Hears what happens on one framed connection, on its event loop; must not block. */
public interface FrameListener {

  /**
   * Called when the connection has opened.
   *
   * @param channel the connection
   */
  void opened(FrameChannel channel);

  /**
   * Called with each frame.
   *
   * @param channel the connection
   * @param frame the bytes
   * @throws Exception if the frame cannot be read; the connection is closed then
   */
  void received(FrameChannel channel, byte[] frame) throws Exception;

  /**
   * Called when the connection starts or stops taking more.
   *
   * @param channel the connection
   */
  default void writabilityChanged(FrameChannel channel) {}

  /**
   * Called once when the connection has closed, or could not be opened.
   *
   * @param channel the connection
   */
  void closed(FrameChannel channel);
}
