package io.sequoiapass.daemon.connection;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/** Joins a request's parts; reports a body over the bound instead of answering by itself. */
final class BodyCollector extends HttpObjectAggregator {

  BodyCollector(int maxBytes) {
    super(maxBytes, true);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    context.fireChannelRead(HttpFault.BODY_TOO_LARGE);
  }
}
