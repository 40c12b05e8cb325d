package io.sequoiapass.daemon.connection;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Hands the requests of one server connection to the handler, one after another.
 *
 * <p>Requests that a client pipelines wait until the answer before theirs has ended, since answers
 * must keep their order. Used on the connection's event loop.
 */
final class HttpServerHandler extends ChannelInboundHandlerAdapter {

  /** Pipelined requests held for one connection; a client that sends more is cut off. */
  private static final int MAX_WAITING = 16;

  private final HttpHandler handler;
  private final ConnectionGuard guard;
  private final BooleanSupplier closing;
  private final LoopPulse pulse;
  private final Queue<PendingCall> waiting = new ArrayDeque<>();
  private ServerExchange current;
  private boolean refused;

  /**
   * Makes a handler.
   *
   * @param handler what answers
   * @param guard what watches the connection's times
   * @param closing whether the connection is to close after the next answer
   * @param pulse the pulse of the connection's event loop
   */
  HttpServerHandler(
      HttpHandler handler, ConnectionGuard guard, BooleanSupplier closing, LoopPulse pulse) {
    this.handler = handler;
    this.guard = guard;
    this.closing = closing;
    this.pulse = pulse;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (refused) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpFault fault) {
      refuse(context, fault);
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
    guard.requestArrived();
    if (request.decoderResult().isFailure()) {
      refuse(context, faultOf(request.decoderResult().cause()));
      return;
    }
    HttpRequestMessage call =
        new HttpRequestMessage(
            request.method().name(),
            request.uri(),
            request.headers().copy(),
            ByteBufUtil.getBytes(request.content()));
    waiting.add(new PendingCall(call, HttpUtil.isKeepAlive(request)));
    if (waiting.size() > MAX_WAITING) {
      context.close();
      return;
    }
    if (pulse.isBehind()) {
      afterNextReads(context);
    } else {
      next(context);
    }
  }

  /**
   * Handles the request once the loop has read all connections again: if its client left while the
   * loop stood still, the connection is closed by then and the request with it. The first task may
   * run in the round that read the request, the second one cannot.
   */
  private void afterNextReads(ChannelHandlerContext context) {
    EventExecutor loop = context.executor();
    loop.schedule(
        () -> loop.schedule(() -> next(context), 1, TimeUnit.MILLISECONDS),
        1,
        TimeUnit.MILLISECONDS);
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

  private void refuse(ChannelHandlerContext context, HttpFault fault) {
    refused = true;
    handler.refuse(fault, new ServerExchange(context, () -> false, () -> {}));
  }

  private void next(ChannelHandlerContext context) {
    if (current != null) {
      return;
    }
    PendingCall call = waiting.poll();
    if (call == null) {
      return;
    }
    BooleanSupplier keep = () -> call.keepAlive() && !closing.getAsBoolean();
    current = new ServerExchange(context, keep, () -> finished(context));
    handler.handle(call.request(), current);
  }

  private void finished(ChannelHandlerContext context) {
    current = null;
    if (waiting.isEmpty()) {
      guard.answerEnded();
    }
    next(context);
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (current != null && context.channel().isWritable()) {
      current.becameWritable();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    waiting.clear();
    ServerExchange exchange = current;
    current = null;
    if (exchange != null) {
      exchange.closed();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  private record PendingCall(HttpRequestMessage request, boolean keepAlive) {}
}
