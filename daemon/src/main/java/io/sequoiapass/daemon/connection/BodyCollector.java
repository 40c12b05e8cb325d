package io.sequoiapass.daemon.connection;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/**
 * Aggregates the parts of a request, and passes on {@link HttpFault#BODY_TOO_LARGE} for a body over
 * the limit instead of sending a response itself.
 */
final class BodyCollector extends HttpObjectAggregator {

  BodyCollector(int maxBytes) {
    super(maxBytes, true);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    context.fireChannelRead(HttpFault.BODY_TOO_LARGE);
  }
}
