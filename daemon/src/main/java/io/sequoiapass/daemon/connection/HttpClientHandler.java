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

  private HttpExchange current;

  void expect(HttpExchange exchange) {
    current = exchange;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    HttpExchange exchange = current;
    if (exchange == null || message.decoderResult().isFailure()) {
      context.close();
      return;
    }
    if (message instanceof HttpResponse head) {
      exchange.head(head.status().code(), head.headers(), HttpUtil.isKeepAlive(head));
    }
    if (message instanceof HttpContent content) {
      if (content.content().isReadable()) {
        exchange.part(ByteBufUtil.getBytes(content.content()));
      }
      if (message instanceof LastHttpContent) {
        current = null;
        exchange.end();
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    HttpExchange exchange = current;
    current = null;
    if (exchange != null) {
      exchange.closed();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
