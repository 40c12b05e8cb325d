package io.sequoiapass.daemon.connection.peer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;

/** Sends messages over one Netty connection; safe for use by several threads. */
final class NettyPeerChannel implements PeerChannel {

  private final Channel channel;
  private final PeerCounters counters;

  NettyPeerChannel(Channel channel, PeerCounters counters) {
    this.channel = channel;
    this.counters = counters;
  }

  @Override
  public boolean send(PeerMessage message) {
    if (!channel.isActive()) {
      return false;
    }
    byte[] frame = PeerFrames.encode(message);
    counters.sent(message, frame.length);
    channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
    return true;
  }

  @Override
  public boolean writable() {
    return channel.isWritable();
  }

  @Override
  public void close() {
    channel.close();
  }

  @Override
  public String toString() {
    return "peer " + channel.remoteAddress();
  }
}
