package io.sequoiapass.daemon.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import io.sequoiapass.coordination.MillisClock;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Closes a server connection that is idle too long or receives its request too slowly.
 *
 * <p>Without these timeouts, clients that stop in the middle of a request hold file descriptors
 * indefinitely, and new connections fail for lack of descriptors. The timeouts are checked by
 * polling, which is precise enough for limits of seconds. A late event loop may find a timeout
 * exceeded although the rest of a request lies unread in the socket, so connections are read before
 * they are closed. Not thread-safe; used on the connection's event loop.
 */
final class ConnectionTimeoutHandler extends ChannelInboundHandlerAdapter {

  /** Interval between two checks; a timeout fires at most this much late. */
  private static final long CHECK_INTERVAL_MS = 500;

  /** Age of the last read above which a close waits for another one, in milliseconds. */
  private static final long MAX_READ_AGE_MS = 50;

  /** Bounds how long a loop that is always late keeps connections beyond their timeouts. */
  private static final int MAX_POSTPONED = 8;

  private final Supplier<ConnectionLimits> limits;
  private final MillisClock clock;
  private final ConnectionReads reads;
  private final ServerObserver observer;
  private long idleSince;
  private long receivingSince;
  private long unlimitedIdleAt = Long.MIN_VALUE;
  private long unlimitedReceivingAt = Long.MIN_VALUE;
  private ConnectionLimits largest;
  private boolean receiving;
  private boolean busy;
  private boolean closing;
  private long checkDueAt;
  private int postponed;

  /**
   * Creates a handler.
   *
   * @param limits supplies the current limits
   * @param clock the monotonic clock
   * @param reads reads the connections of the event loop
   * @param observer receives why the connection is closed
   */
  ConnectionTimeoutHandler(
      Supplier<ConnectionLimits> limits,
      MillisClock clock,
      ConnectionReads reads,
      ServerObserver observer) {
    this.limits = limits;
    this.largest = limits.get();
    this.clock = clock;
    this.reads = reads;
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
    if (closing) {
      ReferenceCountUtil.release(bytes);
      return;
    }
    if (!busy && !receiving) {
      receiving = true;
      receivingSince = clock.millis();
    }
    context.fireChannelRead(bytes);
  }

  /** Records that a complete request has been received; returns when it began to arrive. */
  long requestReceived() {
    long arrivedAt = receiving ? receivingSince : clock.millis();
    postponed = 0;
    busy = true;
    receiving = false;
    return arrivedAt;
  }

  /** Returns the time since a moment, in milliseconds. */
  long sinceMs(long moment) {
    return clock.millis() - moment;
  }

  /** Records that the response has ended. */
  void responseEnded() {
    busy = false;
    idleSince = clock.millis();
  }

  /** Closes the connection unless a request is being received or processed, or lies unread. */
  void closeIfIdle(Channel connection) {
    if (isIdle()) {
      reads.afterNextRead(() -> closeIfStillIdle(connection));
    }
  }

  private void closeIfStillIdle(Channel connection) {
    if (!isIdle() || !connection.isActive()) {
      return;
    }
    if (isPostponed()) {
      closeIfIdle(connection);
    } else {
      close(connection, CloseReason.STOP, 0);
    }
  }

  /** Returns whether a request may have arrived since the read, in which the loop was late. */
  boolean isPostponed() {
    if (reads.ageMs() <= MAX_READ_AGE_MS || postponed >= MAX_POSTPONED) {
      return false;
    }
    postponed++;
    return true;
  }

  private void close(Channel connection, CloseReason reason, long lateMs) {
    observer.closing(reason, receiving, lateMs);
    closing = true;
    if (reason == CloseReason.IDLE) {
      // Its last response was read long ago, and a late request must not look received.
      connection.close();
    } else {
      LingeringClose.close(connection);
    }
  }

  /** Closes the connection after the last response. */
  void closeAfterLast(Channel connection) {
    if (!closing) {
      close(connection, CloseReason.LAST_RESPONSE, 0);
    }
  }

  /** Returns whether no request is being received or processed. */
  boolean isIdle() {
    return !busy && !receiving && !closing;
  }

  private void scheduleCheck(ChannelHandlerContext context) {
    checkDueAt = clock.millis() + CHECK_INTERVAL_MS;
    context
        .executor()
        .schedule(() -> checkTimeouts(context), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void checkTimeouts(ChannelHandlerContext context) {
    if (!context.channel().isActive() || closing) {
      return;
    }
    if (exceeded().isEmpty()) {
      scheduleCheck(context);
      return;
    }
    long lateMs = clock.millis() - checkDueAt;
    reads.afterNextRead(() -> closeIfExceeded(context, lateMs));
  }

  private void closeIfExceeded(ChannelHandlerContext context, long lateMs) {
    if (!context.channel().isActive() || closing) {
      return;
    }
    Optional<CloseReason> reason = exceeded();
    if (reason.isEmpty() || isPostponed()) {
      scheduleCheck(context);
    } else {
      close(context.channel(), reason.get(), lateMs);
    }
  }

  /**
   * Clients may rely on a larger limit at once, and on an earlier one until they reconnect. A limit
   * that follows none counts from when it is in force.
   */
  private Optional<CloseReason> exceeded() {
    long now = clock.millis();
    ConnectionLimits current = limits.get();
    largest = largest.longer(current);
    unlimitedIdleAt = current.idleTimeoutMs() == 0 ? now : unlimitedIdleAt;
    unlimitedReceivingAt = current.headerTimeoutMs() == 0 ? now : unlimitedReceivingAt;
    long receivingMs = now - Math.max(receivingSince, unlimitedReceivingAt);
    if (receiving && isExceeded(receivingMs, largest.headerTimeoutMs())) {
      return Optional.of(CloseReason.SLOW_REQUEST);
    }
    long idleMs = now - Math.max(idleSince, unlimitedIdleAt);
    return isIdle() && isExceeded(idleMs, largest.idleTimeoutMs())
        ? Optional.of(CloseReason.IDLE)
        : Optional.empty();
  }

  private static boolean isExceeded(long elapsedMs, int limitMs) {
    return limitMs > 0 && elapsedMs >= limitMs;
  }
}
