package io.sequoiapass.daemon.connection;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.BooleanSupplier;

/**
 * Passes the requests of one server connection to the handler, one at a time.
 *
 * <p>Pipelined requests wait until the previous response has ended, since responses must keep the
 * order of their requests. While many wait, the connection is not read. Used on the connection's
 * event loop.
 */
final class HttpServerHandler extends ChannelInboundHandlerAdapter {

  /** Number of waiting pipelined requests at which the connection is not read any more. */
  private static final int MAX_PIPELINED_REQUESTS = 16;

  private final HttpHandler handler;
  private final ConnectionTimeoutHandler timeouts;
  private final BooleanSupplier closing;
  private final ConnectionReads reads;
  private final RequestBodies bodies;
  private final ServerObserver observer;
  private final Queue<PendingRequest> pipelined = new ArrayDeque<>();
  private ServerExchange current;
  private HttpFault fault;

  /** The request that has no room; null for other faults. */
  private HttpRequestMessage unread;

  private volatile boolean hasMore;

  /**
   * Creates a handler.
   *
   * @param handler handles the requests
   * @param timeouts enforces the connection's timeouts
   * @param closing whether the connection closes after the next response
   * @param reads reads the connections of the event loop
   * @param bodies the room of the connection's requests
   * @param observer receives why the connection ends
   */
  HttpServerHandler(
      HttpHandler handler,
      ConnectionTimeoutHandler timeouts,
      BooleanSupplier closing,
      ConnectionReads reads,
      RequestBodies bodies,
      ServerObserver observer) {
    this.handler = handler;
    this.timeouts = timeouts;
    this.closing = closing;
    this.reads = reads;
    this.bodies = bodies;
    this.observer = observer;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (fault != null) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpFault found) {
      refuse(context, found);
      return;
    }
    if (message instanceof BodyCollector.UnreadRequest found) {
      refuseUnread(context, found.head());
      return;
    }
    FullHttpRequest request = (FullHttpRequest) message;
    try {
      accept(context, request);
    } finally {
      request.release();
    }
  }

  private void accept(ChannelHandlerContext context, FullHttpRequest request) {
    long arrivedAt = timeouts.requestReceived();
    if (request.decoderResult().isFailure()) {
      refuse(context, faultOf(request.decoderResult().cause()));
      return;
    }
    boolean hasRoom = bodies.add(request.content().readableBytes());
    HttpRequestMessage call =
        new HttpRequestMessage(
            request.method().name(),
            request.uri(),
            request.headers().copy(),
            hasRoom ? ByteBufUtil.getBytes(request.content()) : new byte[0]);
    if (!hasRoom) {
      refuseUnread(context, call);
      return;
    }
    pipelined.add(new PendingRequest(call, HttpUtil.isKeepAlive(request), arrivedAt));
    hasMore = true;
    if (pipelined.size() >= MAX_PIPELINED_REQUESTS) {
      context.channel().config().setAutoRead(false);
    }
    handleAfterRead(context);
  }

  /**
   * Handles the next request after the connection has been read again: a late loop reads a request
   * long after it was sent, and the close of its connection only after that.
   */
  private void handleAfterRead(ChannelHandlerContext context) {
    reads.afterNextRead(
        () -> {
          try {
            handleNext(context);
          } catch (RuntimeException e) {
            failed(e);
          }
        });
  }

  /** Responds to a request whose handler has thrown an exception. */
  private void failed(Throwable cause) {
    observer.failed(cause);
    if (current != null) {
      current.failed(exchange -> handler.refuse(HttpFault.INTERNAL, exchange));
    }
  }

  private static HttpFault faultOf(Throwable cause) {
    if (cause instanceof TooLongHttpLineException) {
      return HttpFault.LINE_TOO_LONG;
    }
    if (cause instanceof TooLongHttpHeaderException) {
      return HttpFault.HEADERS_TOO_LARGE;
    }
    return HttpFault.MALFORMED;
  }

  /** Reads no further request, and responds to this one after the responses to earlier ones. */
  private void refuse(ChannelHandlerContext context, HttpFault found) {
    fault = found;
    if (current == null && pipelined.isEmpty()) {
      respondToFault(context);
    }
  }

  private void refuseUnread(ChannelHandlerContext context, HttpRequestMessage head) {
    unread = head;
    refuse(context, HttpFault.NO_MEMORY);
  }

  private void respondToFault(ChannelHandlerContext context) {
    ServerExchange last = exchange(context, ServerExchange.Persistence.CLOSE, () -> {});
    if (unread != null) {
      handler.refuseUnread(unread, last);
    } else {
      handler.refuse(fault, last);
    }
  }

  private void handleNext(ChannelHandlerContext context) {
    if (current != null) {
      return;
    }
    PendingRequest call = pipelined.poll();
    if (call == null) {
      return;
    }
    boolean isPaused = !context.channel().config().isAutoRead();
    hasMore = isPaused || !pipelined.isEmpty();
    if (pipelined.isEmpty()) {
      context.channel().config().setAutoRead(true);
    }
    current = exchange(context, new Next(call.keepAlive()), () -> responseEnded(context));
    handler.handle(call.request().after(timeouts.sinceMs(call.arrivedAt())), current);
  }

  private ServerExchange exchange(
      ChannelHandlerContext context, ServerExchange.Persistence persistence, Runnable onEnded) {
    return new ServerExchange(
        context, reads, persistence, onEnded, () -> timeouts.closeAfterLast(context.channel()));
  }

  private void responseEnded(ChannelHandlerContext context) {
    current = null;
    bodies.removeFirst();
    if (!pipelined.isEmpty()) {
      handleAfterRead(context);
    } else if (fault != null) {
      respondToFault(context);
    } else {
      timeouts.responseEnded();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (current != null && context.channel().isWritable()) {
      current.fireWritable();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pipelined.clear();
    bodies.clear();
    ServerExchange exchange = current;
    current = null;
    if (exchange != null) {
      exchange.closed();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof IOException) {
      context.close();
      return;
    }
    if (current != null) {
      failed(cause);
      return;
    }
    observer.failed(cause);
    if (fault == null && !timeouts.isIdle()) {
      refuse(context, HttpFault.INTERNAL);
    } else if (pipelined.isEmpty()) {
      observer.closing(CloseReason.EXCEPTION, fault != null, 0);
      context.close();
    }
  }

  /**
   * Whether the connection stays open for the next request: a client may have sent one before it
   * could read of the close, and a late loop has not read it yet.
   */
  private final class Next implements ServerExchange.Persistence {

    private final boolean keepAlive;

    Next(boolean keepAlive) {
      this.keepAlive = keepAlive;
    }

    @Override
    public boolean isKept() {
      return keepAlive && (hasMore || !closing.getAsBoolean());
    }

    @Override
    public void decide(HeldWrites writes, Runnable action) {
      if (!keepAlive || isKept()) {
        writes.run(action);
        return;
      }
      writes.hold();
      writes.run(action);
      reads.afterNextRead(() -> release(writes));
    }

    private void release(HeldWrites writes) {
      if (!isKept() && timeouts.isPostponed()) {
        reads.afterNextRead(() -> release(writes));
      } else {
        writes.release();
      }
    }
  }

  private record PendingRequest(HttpRequestMessage request, boolean keepAlive, long arrivedAt) {}
}
