package io.sequoiapass.daemon.connection;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/** Sends frames over one connection; safe for use by several threads. */
public final class FrameChannel {

  private final Channel channel;

  FrameChannel(Channel channel) {
    this.channel = channel;
  }

  /**
   * Sends a frame, unless the connection has closed.
   *
   * @param frame the bytes
   * @return false if the connection is known to be closed
   */
  public boolean send(byte[] frame) {
    if (!channel.isActive()) {
      return false;
    }
    channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
    return true;
  }

  /** Returns whether the connection takes more without queueing in memory. */
  public boolean writable() {
    return channel.isWritable();
  }

  /** Returns whether the connection is open. */
  public boolean isOpen() {
    return channel.isActive();
  }

  /** Closes the connection. */
  public void close() {
    channel.close();
  }

  /** Returns the other side's address; null if there is none. */
  public InetSocketAddress remoteAddress() {
    return (InetSocketAddress) channel.remoteAddress();
  }
}
