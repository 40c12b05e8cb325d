package io.sequoiapass.daemon.connection.peer;

import io.sequoiapass.daemon.connection.FrameChannel;

/** A peer channel on one Netty connection. Safe for use by several threads. */
final class NettyPeerChannel implements PeerChannel {

  private final FrameChannel channel;
  private final PeerCounters counters;

  NettyPeerChannel(FrameChannel channel, PeerCounters counters) {
    this.channel = channel;
    this.counters = counters;
  }

  @Override
  public boolean send(PeerMessage message) {
    if (!channel.isOpen()) {
      return false;
    }
    byte[] frame = PeerFrames.encode(message);
    counters.sent(message, frame.length);
    return channel.send(frame);
  }

  @Override
  public boolean writable() {
    return channel.writable();
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
