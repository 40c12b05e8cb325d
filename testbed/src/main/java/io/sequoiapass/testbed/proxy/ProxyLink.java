package io.sequoiapass.testbed.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import java.net.InetAddress;

/** Pairs a client connection with its connection to the target; confined to one event loop. */
final class ProxyLink {

  private final SocketChannel client;
  private final InetAddress source;
  private Channel target;
  private ProxyFault fault;
  private ProxyPipe toTarget;
  private ProxyPipe fromTarget;
  private Runnable onClose = () -> {};
  private boolean closed;

  ProxyLink(SocketChannel client, InetAddress source, ProxyFault fault) {
    this.client = client;
    this.source = source;
    this.fault = fault;
  }

  /** Returns the address that the client connected from. */
  InetAddress source() {
    return source;
  }

  void onClose(Runnable action) {
    onClose = action;
    client.closeFuture().addListener(done -> close());
  }

  void targetOpened(Channel opened) {
    if (closed) {
      opened.close();
      return;
    }
    target = opened;
    toTarget = new ProxyPipe(Direction.TO_TARGET, target, fault, this);
    fromTarget = new ProxyPipe(Direction.FROM_TARGET, client, fault, this);
    toTarget.reverse(fromTarget);
    fromTarget.reverse(toTarget);
    client.pipeline().addLast(toTarget);
    target.pipeline().addLast(fromTarget);
  }

  void start() {
    if (closed) {
      return;
    }
    client.config().setAutoRead(true);
    target.config().setAutoRead(true);
  }

  void apply(ProxyFault next) {
    fault = next;
    if (next.mode() == ProxyMode.CUT) {
      reset();
      return;
    }
    if (toTarget != null) {
      toTarget.apply(next);
      fromTarget.apply(next);
    }
  }

  /** Ends both connections with a reset, as opposed to the orderly end of one of its peers. */
  void reset() {
    if (closed) {
      return;
    }
    resetOnClose(client);
    if (target != null) {
      resetOnClose(target);
    }
    close();
  }

  private static void resetOnClose(Channel channel) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
  }

  void close() {
    if (closed) {
      return;
    }
    closed = true;
    client.close();
    if (target != null) {
      target.close();
      toTarget.release();
      fromTarget.release();
    }
    onClose.run();
  }
}
