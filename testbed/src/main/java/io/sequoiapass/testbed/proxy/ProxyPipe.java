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
 * Forwards or holds back the bytes of one direction of a connection; confined to one event loop.
 *
 * <p>All chunks pass through one queue, so a change of the fault never reorders bytes. A close or
 * reset is propagated only after the bytes before it, and not at all while the direction is held
 * back: in a real partition the other side would not receive it either.
 */
final class ProxyPipe extends ChannelInboundHandlerAdapter {

  /** Limit of buffered bytes; above it TCP flow control blocks the sender. */
  private static final int MAX_QUEUED_BYTES = 1 << 20;

  private final Direction direction;
  private final Channel to;
  private final ProxyLink link;
  private final Deque<Chunk> queue = new ArrayDeque<>();
  private ProxyFault fault;
  private ProxyPipe reverse;
  private ChannelHandlerContext from;
  private long queuedBytes;
  private long forwardedUnderFault;
  private long lastDue;
  private boolean inputClosed;
  private boolean inputReset;

  ProxyPipe(Direction direction, Channel to, ProxyFault fault, ProxyLink link) {
    this.direction = direction;
    this.to = to;
    this.fault = fault;
    this.link = link;
    this.lastDue = System.nanoTime();
  }

  /** Sets the pipe of the opposite direction. */
  void reverse(ProxyPipe other) {
    reverse = other;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    from = context;
  }

  void apply(ProxyFault next) {
    fault = next;
    forwardedUnderFault = 0;
    drain();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    queuedBytes += bytes.readableBytes();
    long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(fault.delayMs());
    lastDue = Math.max(lastDue, due);
    queue.add(new Chunk(bytes, lastDue));
    drain();
  }

  private void drain() {
    long now = System.nanoTime();
    while (!queue.isEmpty() && !fault.holdsBack(direction) && queue.peek().due <= now) {
      Chunk chunk = queue.poll();
      queuedBytes -= chunk.bytes.readableBytes();
      forward(chunk.bytes);
    }
    if (!queue.isEmpty() && !fault.holdsBack(direction)) {
      to.eventLoop().schedule(this::drain, queue.peek().due - now, TimeUnit.NANOSECONDS);
    }
    if (inputClosed && queue.isEmpty() && !fault.holdsBack(direction)) {
      to.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> endLink());
    }
    updateAutoRead();
  }

  private void forward(ByteBuf bytes) {
    if (!fault.dropsAfterLimit(direction)) {
      to.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
      return;
    }
    long remaining = fault.bytes() - forwardedUnderFault;
    if (bytes.readableBytes() < remaining) {
      forwardedUnderFault += bytes.readableBytes();
      to.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
      return;
    }
    forwardedUnderFault = fault.bytes();
    ByteBuf last = bytes.readRetainedSlice((int) remaining);
    bytes.release();
    to.writeAndFlush(last).addListener(done -> link.close());
  }

  private void updateAutoRead() {
    from.channel().config().setAutoRead(to.isWritable() && queuedBytes < MAX_QUEUED_BYTES);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    reverse.updateAutoRead();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    inputClosed = true;
    drain();
  }

  private void endLink() {
    if (inputReset) {
      link.reset();
    } else {
      link.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    inputReset = true;
    context.close();
  }

  void release() {
    queue.forEach(chunk -> chunk.bytes.release());
    queue.clear();
  }

  private record Chunk(ByteBuf bytes, long due) {}
}
