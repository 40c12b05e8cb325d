package io.sequoiapass.daemon.connection;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Aggregates the parts of a request. Passes on {@link HttpFault#BODY_TOO_LARGE} for a body over the
 * limit, and the head alone as {@link UnreadRequest} if there is no room for the body, instead of
 * sending a response itself.
 */
final class BodyCollector extends HttpObjectAggregator {

  private final RequestMemory memory;

  /** Room of the body that is being received, in bytes. */
  private long reservedBytes;

  private boolean hasRoom = true;

  /** A request whose body is discarded. */
  record UnreadRequest(HttpRequestMessage head) {}

  BodyCollector(int maxBytes, RequestMemory memory) {
    super(maxBytes, true);
    this.memory = memory;
  }

  /** Returns whether a body is not to be received; reserves room for it otherwise. */
  @Override
  protected boolean isContentLengthInvalid(HttpMessage start, int maxBytes) {
    hasRoom = true;
    if (super.isContentLengthInvalid(start, maxBytes)) {
      return true;
    }
    release();
    reserve(announcedBytes(start));
    return !hasRoom;
  }

  private static long announcedBytes(HttpMessage start) {
    try {
      return HttpUtil.getContentLength(start, 0L);
    } catch (NumberFormatException e) {
      // The decoder marks the request as malformed.
      return 0;
    }
  }

  private void reserve(long bytes) {
    hasRoom = memory.tryReserve(bytes);
    reservedBytes = hasRoom ? bytes : 0;
  }

  private void release() {
    memory.release(reservedBytes);
    reservedBytes = 0;
  }

  /**
   * Passes the room of a body that has been received to the caller, which has to release it;
   * returns false if there is none. The length of a body may be known only now.
   */
  boolean takeRoom(long bytes) {
    if (reservedBytes != bytes) {
      release();
      reserve(bytes);
    }
    reservedBytes = 0;
    return hasRoom;
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    if (!hasRoom && oversized instanceof HttpRequest request) {
      context.fireChannelRead(
          new UnreadRequest(
              new HttpRequestMessage(
                  request.method().name(), request.uri(), request.headers().copy(), new byte[0])));
    } else {
      context.fireChannelRead(HttpFault.BODY_TOO_LARGE);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    release();
    super.channelInactive(context);
  }
}
