package io.sequoiapass.daemon.connection;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.sequoiapass.coordination.MillisClock;
import java.util.concurrent.TimeUnit;

/**
 * Closes a server connection that rests too long or sends its request too slowly.
 *
 * <p>Without it, clients that stop in the middle of a request hold descriptors for good, and new
 * callers find none left. It looks a few times a second at the most, which is precise enough for
 * timeouts of seconds. Used on the connection's event loop.
 */
final class ConnectionGuard extends ChannelInboundHandlerAdapter {

  /** Pause between two looks, in milliseconds; a timeout is late by this much at the most. */
  private static final long LOOK_MS = 500;

  private final ConnectionLimits limits;
  private final MillisClock clock;
  private long restingSince;
  private long arrivingSince;
  private boolean arriving;
  private boolean busy;

  ConnectionGuard(ConnectionLimits limits, MillisClock clock) {
    this.limits = limits;
    this.clock = clock;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    restingSince = clock.millis();
    scheduleLook(context);
    context.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object bytes) {
    if (!busy && !arriving) {
      arriving = true;
      arrivingSince = clock.millis();
    }
    context.fireChannelRead(bytes);
  }

  /** Notes that a whole request has arrived. */
  void requestArrived() {
    busy = true;
    arriving = false;
  }

  /** Notes that the answer has ended. */
  void answerEnded() {
    busy = false;
    restingSince = clock.millis();
  }

  /** Returns whether no request is arriving or being answered. */
  boolean isResting() {
    return !busy && !arriving;
  }

  private void scheduleLook(ChannelHandlerContext context) {
    context.executor().schedule(() -> look(context), LOOK_MS, TimeUnit.MILLISECONDS);
  }

  private void look(ChannelHandlerContext context) {
    if (!context.channel().isActive()) {
      return;
    }
    long now = clock.millis();
    boolean tooSlow = arriving && isOver(now - arrivingSince, limits.headerTimeoutMs());
    boolean restedTooLong = isResting() && isOver(now - restingSince, limits.idleTimeoutMs());
    if (tooSlow || restedTooLong) {
      context.close();
    } else {
      scheduleLook(context);
    }
  }

  private static boolean isOver(long elapsedMs, int limitMs) {
    return limitMs > 0 && elapsedMs >= limitMs;
  }
}
