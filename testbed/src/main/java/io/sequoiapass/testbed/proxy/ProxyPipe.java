package io.sequoiapass.testbed.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Forwards one way of one connection, or holds it back; used on one event loop.
 *
 * <p>All parts go through one queue, so that no change of the fault reorders bytes. A side that
 * closes is told to the other side only after the bytes before it, and while the way is held not at
 * all: in a partition the other side does not hear of it either.
 */
final class ProxyPipe extends ChannelInboundHandlerAdapter {

  /** Bytes held back at most; beyond it the sender is held by TCP. */
  private static final int MAX_HELD_BYTES = 1 << 20;

  private final Direction direction;
  private final Channel to;
  private final Runnable closeLink;
  private final Deque<Part> held = new ArrayDeque<>();
  private ProxyFault fault;
  private ProxyPipe back;
  private ChannelHandlerContext from;
  private long heldBytes;
  private long passedUnderFault;
  private long lastDue;
  private boolean ended;

  ProxyPipe(Direction direction, Channel to, ProxyFault fault, Runnable closeLink) {
    this.direction = direction;
    this.to = to;
    this.fault = fault;
    this.closeLink = closeLink;
    this.lastDue = System.nanoTime();
  }

  /** Sets the pipe that goes the other way over the same connections. */
  void back(ProxyPipe other) {
    back = other;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    from = context;
  }

  void apply(ProxyFault next) {
    fault = next;
    passedUnderFault = 0;
    drain();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    heldBytes += bytes.readableBytes();
    long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(fault.delayMs());
    lastDue = Math.max(lastDue, due);
    held.add(new Part(bytes, lastDue));
    drain();
  }

  private void drain() {
    long now = System.nanoTime();
    while (!held.isEmpty() && !fault.holds(direction) && held.peek().due <= now) {
      Part part = held.poll();
      heldBytes -= part.bytes.readableBytes();
      forward(part.bytes);
    }
    if (!held.isEmpty() && !fault.holds(direction)) {
      to.eventLoop().schedule(this::drain, held.peek().due - now, TimeUnit.NANOSECONDS);
    }
    if (ended && held.isEmpty() && !fault.holds(direction)) {
      to.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> closeLink.run());
    }
    readIfRoom();
  }

  private void forward(ByteBuf bytes) {
    if (!fault.drops(direction)) {
      to.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
      return;
    }
    long left = fault.bytes() - passedUnderFault;
    if (bytes.readableBytes() < left) {
      passedUnderFault += bytes.readableBytes();
      to.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
      return;
    }
    passedUnderFault = fault.bytes();
    ByteBuf last = bytes.readRetainedSlice((int) left);
    bytes.release();
    to.writeAndFlush(last).addListener(done -> closeLink.run());
  }

  private void readIfRoom() {
    from.channel().config().setAutoRead(to.isWritable() && heldBytes < MAX_HELD_BYTES);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    back.readIfRoom();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    ended = true;
    drain();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  void release() {
    held.forEach(part -> part.bytes.release());
    held.clear();
  }

  private record Part(ByteBuf bytes, long due) {}
}
