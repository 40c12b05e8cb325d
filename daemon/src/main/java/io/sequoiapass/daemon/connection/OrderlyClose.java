package io.sequoiapass.daemon.connection;

import io.netty.channel.Channel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.Socket;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Finds out whether a server that has ended its side of a connection had read all that was sent to
 * it: if not, its kernel resets the connection when it is closed.
 *
 * <p>A server may end its side a moment before it closes, and its kernel acknowledges what nobody
 * has read. So a reset is awaited first, and the client's side is ended then: that is acknowledged
 * only behind all bytes of the request. Used on the event loop of the connection.
 */
final class OrderlyClose {

  /** Time within which a server that has ended its side closes, in milliseconds. */
  private static final long RESET_MS = 50;

  /** Time within which the end of the client's side has to be acknowledged, in milliseconds. */
  private static final long ACKNOWLEDGED_MS = 500;

  private static final long FIRST_CHECK_MS = 1;

  /** The state of a TCP connection that has been reset or ended by both, as the kernel reports. */
  private static final int TCP_CLOSE = 7;

  private final EpollSocketChannel channel;
  private final Consumer<Boolean> result;

  private OrderlyClose(EpollSocketChannel channel, Consumer<Boolean> result) {
    this.channel = channel;
    this.result = result;
  }

  /**
   * Ends the client's side of a connection whose server has ended its own.
   *
   * @param channel the connection, which is open; the caller closes it
   * @param result receives whether the server acknowledges all bytes; false if it can't be known,
   *     as with selectors of the JDK
   */
  static void await(Channel channel, Consumer<Boolean> result) {
    if (channel instanceof EpollSocketChannel epoll) {
      OrderlyClose close = new OrderlyClose(epoll, result);
      epoll.eventLoop().schedule(close::endSide, RESET_MS, TimeUnit.MILLISECONDS);
    } else {
      result.accept(false);
    }
  }

  private void endSide() {
    if (isClosed()) {
      result.accept(false);
      return;
    }
    channel
        .shutdownOutput()
        .addListener(
            done -> {
              if (done.isSuccess()) {
                check(FIRST_CHECK_MS);
              } else {
                result.accept(false);
              }
            });
  }

  private void check(long nextMs) {
    if (isClosed()) {
      result.accept(channel.isOpen() && isWithoutError());
    } else if (nextMs > ACKNOWLEDGED_MS) {
      result.accept(false);
    } else {
      channel.eventLoop().schedule(() -> check(2 * nextMs), nextMs, TimeUnit.MILLISECONDS);
    }
  }

  private boolean isClosed() {
    return !channel.isOpen() || channel.tcpInfo().state() == TCP_CLOSE;
  }

  private boolean isWithoutError() {
    try {
      return ((Socket) channel.fd()).getSoError() == 0;
    } catch (IOException e) {
      return false;
    }
  }
}
