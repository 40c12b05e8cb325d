package io.sequoiapass.daemon.connection;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.net.InetSocketAddress;

/** Sends frames over one connection; thread-safe. */
public final class FrameChannel {

  private final Channel channel;

  FrameChannel(Channel channel) {
    this.channel = channel;
  }

  /**
   * Sends a frame, unless the connection is closed.
   *
   * @param frame the payload; not copied, so leave it unchanged
   * @return false if the connection is closed; true does not mean that the frame is delivered
   */
  public boolean send(byte[] frame) {
    if (!channel.isActive()) {
      return false;
    }
    channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
    return true;
  }

  /**
   * Queues a frame until {@link #flush} or the next {@link #send}, unless the connection is closed.
   *
   * @param frame the payload; not copied, so leave it unchanged
   */
  public void queue(byte[] frame) {
    if (channel.isActive()) {
      channel.write(Unpooled.wrappedBuffer(frame));
    }
  }

  /** Sends the queued frames together, so that the peer is woken once. */
  public void flush() {
    channel.flush();
  }

  /** Returns whether the write buffer is below its high watermark. */
  public boolean writable() {
    return channel.isWritable();
  }

  /** Returns how many bytes wait in this process to be sent. */
  public long waitingBytes() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  /** Returns whether the connection is open. */
  public boolean isOpen() {
    return channel.isActive();
  }

  /** Closes the connection. */
  public void close() {
    channel.close();
  }

  /** Returns the remote address; null if the connection is not established. */
  public InetSocketAddress remoteAddress() {
    return (InetSocketAddress) channel.remoteAddress();
  }
}
