package io.sequoiapass.daemon.connection;

import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes the connection of a client without a reset.
 *
 * <p>A close while bytes of the client lie unread makes the system reset the connection, and the
 * reset destroys what the client has not read of the last response. So only the sending half is
 * closed at first, and what still arrives is discarded until the client closes its half, too.
 */
final class LingeringClose {

  /** How long the client has for closing its half, in milliseconds. */
  private static final long LINGER_MS = 1_000;

  private LingeringClose() {}

  /**
   * Closes a connection whose responses have been written. Its handlers have to discard what is
   * read from now on.
   *
   * @param connection the connection
   */
  static void close(Channel connection) {
    if (connection instanceof DuplexChannel duplex && connection.isActive()) {
      connection.config().setAutoRead(true);
      duplex
          .shutdownOutput()
          .addListener(
              done -> {
                if (!done.isSuccess()) {
                  connection.close();
                }
              });
      connection.eventLoop().schedule(() -> connection.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    } else {
      connection.close();
    }
  }
}
