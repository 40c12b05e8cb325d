package io.sequoiapass.daemon.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.util.Arrays;

/**
 * Passes what one client connection receives to the exchange in progress; used on its event loop.
 */
final class HttpClientHandler extends SimpleChannelInboundHandler<HttpObject> {

  private static final byte[] NO_BYTES = {};

  private final ResponseGuard guard;
  private final ResponseDecoder decoder;
  private final CarriedRequests carried = new CarriedRequests();
  private HttpExchange current;
  private HttpExchange latest;
  private boolean discarding;

  /** Whether the end of the connection marks that of the response, if that has a body. */
  private boolean endsWithConnection;

  /** Whether it is being found out if the server had read the whole request. */
  private boolean awaitsClose;

  /**
   * The content that the current read has decoded. It is passed on in one part: in chunks of one
   * byte, a part for each costs many times what reading it does.
   */
  private byte[] content = NO_BYTES;

  private int contentBytes;

  HttpClientHandler(ResponseGuard guard, ResponseDecoder decoder) {
    this.guard = guard;
    this.decoder = decoder;
    guard.onUnrequested(this::unrequested);
    decoder.bodiless(headers -> current != null && current.isHead() && current.isNamedIn(headers));
  }

  private void unrequested() {
    if (latest != null) {
      latest.stray(StrayResponse.UNREQUESTED);
    }
  }

  void expect(HttpExchange exchange) {
    current = exchange;
    latest = exchange;
    discarding = false;
    exchange.requestId().ifPresent(carried::add);
    // A late copy of the response to HEAD would be read as one with a body.
    if (carried.isFull() || exchange.isHead()) {
      exchange.markNotReusable();
    }
    guard.expectHead();
  }

  /** Returns whether the connection has carried a request; called while no exchange uses it. */
  boolean hasCarried(String requestId) {
    return carried.contains(requestId);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    HttpExchange exchange = current;
    if (exchange == null) {
      unrequested();
    }
    if (exchange == null || message.decoderResult().isFailure()) {
      context.close();
      return;
    }
    if (message instanceof HttpResponse head) {
      if (!ResponseDecoder.hasStatus(head)) {
        reject(context, StrayResponse.INVALID_STATUS);
        return;
      }
      if (ResponseDecoder.isJoined(head, exchange::isOwnId)) {
        reject(context, StrayResponse.JOINED_HEAD);
        return;
      }
      if (isFinal(head) && exchange.mayBeCopy(head.headers())) {
        reject(context, StrayResponse.WITHOUT_ID);
        return;
      }
      begin(context, exchange, head);
    }
    if (message instanceof HttpContent content) {
      read(context, exchange, content);
    }
  }

  /** Fails the exchange, whose response cannot be told from others any more. */
  private void reject(ChannelHandlerContext context, StrayResponse response) {
    current.stray(response);
    fail("received " + response.label());
    context.close();
  }

  private static boolean isFinal(HttpResponse head) {
    return head.status().codeClass() != HttpStatusClass.INFORMATIONAL;
  }

  private void begin(ChannelHandlerContext context, HttpExchange exchange, HttpResponse head) {
    if (!isFinal(head)) {
      discarding = true;
    } else if (!exchange.accepts(head.headers())) {
      discarding = true;
    } else {
      guard.headReceived();
      endsWithConnection = BodyFraming.of(head.headers()) == BodyFraming.CONNECTION;
      if (endsWithConnection && exchange.hasBody()) {
        context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
      }
      exchange.head(head.status().code(), head.headers(), HttpUtil.isKeepAlive(head));
    }
  }

  private void read(ChannelHandlerContext context, HttpExchange exchange, HttpContent message) {
    boolean last = message instanceof LastHttpContent;
    if (discarding) {
      discarding = !last;
      if (last) {
        guard.otherMessageRead();
      }
      return;
    }
    if (message.content().isReadable()) {
      guard.contentRead(message.content().readableBytes());
      collect(message.content());
    }
    if (last && mayBeUnread(context.channel(), exchange)) {
      awaitClose(context, exchange);
    } else if (last) {
      end(exchange);
    }
  }

  /**
   * Returns whether a response has ended with its connection while the server may not have read the
   * whole request. The end of its side arrives before the reset that follows from unread bytes.
   */
  private boolean mayBeUnread(Channel channel, HttpExchange exchange) {
    boolean hasEnded = !channel.isActive() || isInputShutdown(channel);
    return endsWithConnection && exchange.hasBody() && hasEnded;
  }

  private static boolean isInputShutdown(Channel channel) {
    return channel instanceof DuplexChannel duplex && duplex.isInputShutdown();
  }

  private void awaitClose(ChannelHandlerContext context, HttpExchange exchange) {
    if (!context.channel().isActive() || !exchange.isFlushed()) {
      fail("connection closed");
      context.close();
      return;
    }
    awaitsClose = true;
    passOn(exchange);
    OrderlyClose.await(
        context.channel(),
        isOrderly -> {
          if (isOrderly && current == exchange) {
            exchange.markNotReusable();
            end(exchange);
          } else {
            fail("connection reset");
            context.close();
          }
        });
  }

  private void end(HttpExchange exchange) {
    passOn(exchange);
    current = null;
    guard.ended();
    if (decoder.hasMore()) {
      exchange.stray(StrayResponse.UNREQUESTED);
    }
    exchange.end();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent && !awaitsClose) {
      context.close();
    }
    context.fireUserEventTriggered(event);
  }

  private void collect(ByteBuf bytes) {
    int total = contentBytes + bytes.readableBytes();
    if (total > content.length) {
      content = Arrays.copyOf(content, Math.max(total, 2 * content.length));
    }
    bytes.getBytes(bytes.readerIndex(), content, contentBytes, bytes.readableBytes());
    contentBytes = total;
  }

  private void passOn(HttpExchange exchange) {
    if (contentBytes > 0) {
      byte[] part = contentBytes == content.length ? content : Arrays.copyOf(content, contentBytes);
      content = NO_BYTES;
      contentBytes = 0;
      exchange.part(part);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (current != null) {
      passOn(current);
    }
    context.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail("connection closed");
  }

  /**
   * Fails the exchange before the codec handles the close. A response without a length ends with
   * its connection, so a response truncated by a reset would otherwise be taken as complete.
   */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(cause instanceof IOException ? "connection reset" : "connection failed");
    context.close();
  }

  private void fail(String end) {
    HttpExchange exchange = current;
    current = null;
    if (exchange != null) {
      passOn(exchange);
      exchange.closed(end);
    }
  }
}
