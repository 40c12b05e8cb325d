package io.sequoiapass.testbed.proxy;

import io.netty.channel.Channel;

/** Joins one caller's connection to its connection to the target; used on one event loop. */
final class ProxyLink {

  private final Channel caller;
  private Channel target;
  private ProxyFault fault;
  private ProxyPipe toTarget;
  private ProxyPipe fromTarget;
  private Runnable onClose = () -> {};
  private boolean closed;

  ProxyLink(Channel caller, ProxyFault fault) {
    this.caller = caller;
    this.fault = fault;
  }

  void onClose(Runnable action) {
    onClose = action;
    caller.closeFuture().addListener(done -> close());
  }

  void targetOpened(Channel opened) {
    if (closed) {
      opened.close();
      return;
    }
    target = opened;
    toTarget = new ProxyPipe(Direction.TO_TARGET, target, fault, this::close);
    fromTarget = new ProxyPipe(Direction.FROM_TARGET, caller, fault, this::close);
    toTarget.back(fromTarget);
    fromTarget.back(toTarget);
    caller.pipeline().addLast(toTarget);
    target.pipeline().addLast(fromTarget);
  }

  void start() {
    if (closed) {
      return;
    }
    caller.config().setAutoRead(true);
    target.config().setAutoRead(true);
  }

  void apply(ProxyFault next) {
    fault = next;
    if (next.mode() == ProxyMode.CUT) {
      close();
      return;
    }
    if (toTarget != null) {
      toTarget.apply(next);
      fromTarget.apply(next);
    }
  }

  void close() {
    if (closed) {
      return;
    }
    closed = true;
    caller.close();
    if (target != null) {
      target.close();
      toTarget.release();
      fromTarget.release();
    }
    onClose.run();
  }
}
