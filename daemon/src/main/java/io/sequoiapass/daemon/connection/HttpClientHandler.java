package io.sequoiapass.daemon.connection;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Hands what arrives on one client connection to the exchange under way; used on its event loop.
 */
final class HttpClientHandler extends SimpleChannelInboundHandler<HttpObject> {

  private static final int FIRST_FINAL_STATUS = 200;

  private HttpExchange current;
  private boolean skipping;

  void expect(HttpExchange exchange) {
    current = exchange;
    skipping = false;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    HttpExchange exchange = current;
    if (exchange == null || message.decoderResult().isFailure()) {
      context.close();
      return;
    }
    if (message instanceof HttpResponse head) {
      begin(exchange, head);
    }
    if (message instanceof HttpContent content) {
      read(exchange, content);
    }
  }

  private void begin(HttpExchange exchange, HttpResponse head) {
    if (head.status().code() < FIRST_FINAL_STATUS) {
      skipping = true;
    } else if (!exchange.isMine(head.headers())) {
      skipping = true;
      exchange.tainted();
    } else {
      exchange.head(head.status().code(), head.headers(), HttpUtil.isKeepAlive(head));
    }
  }

  private void read(HttpExchange exchange, HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (skipping) {
      skipping = !last;
      return;
    }
    if (content.content().isReadable()) {
      exchange.part(ByteBufUtil.getBytes(content.content()));
    }
    if (last) {
      current = null;
      exchange.end();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail();
  }

  /**
   * Ends the exchange before the codec hears of the close: an answer without a length ends with its
   * connection, and one that was cut by a reset would else count as whole.
   */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail();
    context.close();
  }

  private void fail() {
    HttpExchange exchange = current;
    current = null;
    if (exchange != null) {
      exchange.closed();
    }
  }
}
