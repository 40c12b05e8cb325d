package io.sequoiapass.daemon.connection.peer;

import com.codahale.metrics.Counter;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;

/** Sends messages over one Netty connection; safe for use by several threads. */
final class NettyPeerChannel implements PeerChannel {

  private final Channel channel;
  private final Counter controlBytes;
  private final Counter dataBytes;

  NettyPeerChannel(Channel channel, Counter controlBytes, Counter dataBytes) {
    this.channel = channel;
    this.controlBytes = controlBytes;
    this.dataBytes = dataBytes;
  }

  @Override
  public boolean send(PeerMessage message) {
    if (!channel.isActive()) {
      return false;
    }
    byte[] frame = PeerFrames.encode(message);
    Counter counter = message instanceof PeerMessage.OfAttempt ? dataBytes : controlBytes;
    counter.inc(frame.length);
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
