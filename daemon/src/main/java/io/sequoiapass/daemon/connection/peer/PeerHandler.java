package io.sequoiapass.daemon.connection.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;

/** Hands the frames of one connection to its listener; used on the connection's event loop. */
final class PeerHandler extends SimpleChannelInboundHandler<ByteBuf> {

  private final PeerChannel peer;
  private final PeerListener listener;

  PeerHandler(PeerChannel peer, PeerListener listener) {
    this.peer = peer;
    this.listener = listener;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    listener.opened(peer);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame)
      throws PeerFrameException {
    listener.received(peer, PeerFrames.decode(ByteBufUtil.getBytes(frame)));
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    listener.writabilityChanged(peer);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    listener.closed(peer);
  }

  /**
   * A frame that cannot be read means that the two sides no longer agree on where frames begin, so
   * every later frame of this connection would be misread. Closing it is enough: each side treats
   * the attempts on it as lost, and other connections are untouched.
   */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
