package io.sequoiapass.daemon.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.sequoiapass.coordination.MillisClock;
import java.util.concurrent.TimeUnit;

/**
 * Closes a server connection that is idle too long or receives its request too slowly.
 *
 * <p>Without these timeouts, clients that stop in the middle of a request hold file descriptors
 * indefinitely, and new connections fail for lack of descriptors. The timeouts are checked by
 * polling, which is precise enough for limits of seconds. Not thread-safe; used on the connection's
 * event loop.
 */
final class ConnectionTimeoutHandler extends ChannelInboundHandlerAdapter {

  /** Interval between two checks; a timeout fires at most this much late. */
  private static final long CHECK_INTERVAL_MS = 500;

  private final ConnectionLimits limits;
  private final MillisClock clock;
  private final ServerObserver observer;
  private long idleSince;
  private long receivingSince;
  private boolean receiving;
  private boolean busy;
  private long checkDueAt;

  ConnectionTimeoutHandler(ConnectionLimits limits, MillisClock clock, ServerObserver observer) {
    this.limits = limits;
    this.clock = clock;
    this.observer = observer;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    idleSince = clock.millis();
    scheduleCheck(context);
    context.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object bytes) {
    if (!busy && !receiving) {
      receiving = true;
      receivingSince = clock.millis();
    }
    context.fireChannelRead(bytes);
  }

  /** Records that a complete request has been received. */
  void requestReceived() {
    busy = true;
    receiving = false;
  }

  /** Records that the response has ended. */
  void responseEnded() {
    busy = false;
    idleSince = clock.millis();
  }

  /** Closes the connection unless a request is being received or processed. */
  void closeIfIdle(Channel connection) {
    if (isIdle()) {
      observer.closing(CloseReason.STOP, false, 0);
      connection.close();
    }
  }

  private boolean isIdle() {
    return !busy && !receiving;
  }

  private void scheduleCheck(ChannelHandlerContext context) {
    checkDueAt = clock.millis() + CHECK_INTERVAL_MS;
    context
        .executor()
        .schedule(() -> checkTimeouts(context), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void checkTimeouts(ChannelHandlerContext context) {
    if (!context.channel().isActive()) {
      return;
    }
    long now = clock.millis();
    boolean tooSlow = receiving && isExceeded(now - receivingSince, limits.headerTimeoutMs());
    boolean idleTooLong = isIdle() && isExceeded(now - idleSince, limits.idleTimeoutMs());
    if (tooSlow || idleTooLong) {
      observer.closing(
          tooSlow ? CloseReason.SLOW_REQUEST : CloseReason.IDLE, receiving, now - checkDueAt);
      context.close();
    } else {
      scheduleCheck(context);
    }
  }

  private static boolean isExceeded(long elapsedMs, int limitMs) {
    return limitMs > 0 && elapsedMs >= limitMs;
  }
}
