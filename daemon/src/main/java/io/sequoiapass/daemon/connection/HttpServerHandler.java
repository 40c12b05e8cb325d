package io.sequoiapass.daemon.connection;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;

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
  private final Queue<PendingCall> waiting = new ArrayDeque<>();
  private ServerExchange current;
  private boolean refused;

  HttpServerHandler(HttpHandler handler) {
    this.handler = handler;
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
    next(context);
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
    handler.refuse(fault, new ServerExchange(context, false, () -> {}));
  }

  private void next(ChannelHandlerContext context) {
    if (current != null) {
      return;
    }
    PendingCall call = waiting.poll();
    if (call == null) {
      return;
    }
    current = new ServerExchange(context, call.keepAlive(), () -> finished(context));
    handler.handle(call.request(), current);
  }

  private void finished(ChannelHandlerContext context) {
    current = null;
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
