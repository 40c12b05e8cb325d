package io.sequoiapass.daemon.connection;

import io.netty.channel.Channel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.unix.Socket;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Finds out whether a server that has ended its side of a connection had read all that was sent to
 * it: it then acknowledges the end of the client's side, and resets the connection otherwise.
 *
 * <p>Used on the event loop of the connection.
 */
final class OrderlyClose {

  /** Time within which the server has to acknowledge, in milliseconds. */
  private static final long ACKNOWLEDGED_MS = 500;

  private static final long FIRST_CHECK_MS = 1;

  /** The state of a TCP connection whose both sides have ended, as the kernel reports it. */
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
      epoll
          .shutdownOutput()
          .addListener(
              done -> {
                if (done.isSuccess()) {
                  new OrderlyClose(epoll, result).check(FIRST_CHECK_MS);
                } else {
                  result.accept(false);
                }
              });
    } else {
      result.accept(false);
    }
  }

  private void check(long nextMs) {
    try {
      if (!channel.isOpen()) {
        result.accept(false);
      } else if (channel.tcpInfo().state() == TCP_CLOSE) {
        result.accept(((Socket) channel.fd()).getSoError() == 0);
      } else if (nextMs > ACKNOWLEDGED_MS) {
        result.accept(false);
      } else {
        channel.eventLoop().schedule(() -> check(2 * nextMs), nextMs, TimeUnit.MILLISECONDS);
      }
    } catch (IOException e) {
      result.accept(false);
    }
  }
}
