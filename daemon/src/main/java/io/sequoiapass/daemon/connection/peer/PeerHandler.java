package io.sequoiapass.daemon.connection.peer;

import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.daemon.connection.FrameListener;

/** Decodes the frames of one connection for its listener. Used on the connection's event loop. */
final class PeerHandler implements FrameListener {

  private final PeerCounters counters;
  private final PeerListener listener;
  private PeerChannel peer;

  PeerHandler(PeerCounters counters, PeerListener listener) {
    this.counters = counters;
    this.listener = listener;
  }

  @Override
  public void opened(FrameChannel channel) {
    peer = new NettyPeerChannel(channel, counters);
    listener.opened(peer);
  }

  @Override
  public void received(FrameChannel channel, byte[] frame) throws PeerFrameException {
    listener.received(peer, PeerFrames.decode(frame));
  }

  @Override
  public void writabilityChanged(FrameChannel channel) {
    listener.writabilityChanged(peer);
  }

  @Override
  public void closed(FrameChannel channel) {
    listener.closed(peer == null ? new NettyPeerChannel(channel, counters) : peer);
  }
}
