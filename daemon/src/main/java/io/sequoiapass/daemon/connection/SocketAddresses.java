package io.sequoiapass.daemon.connection;

import java.net.InetSocketAddress;

/** Parses addresses of the form {@code IP:port}. */
public final class SocketAddresses {

  private static final int MAX_PORT = 65_535;

  private SocketAddresses() {}

  /**
   * Parses an address.
   *
   * @param text an IP address and a port
   * @throws IllegalArgumentException if the text is not of that form or the port is out of range
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not of the form IP:port: " + text);
    }
    int port;
    try {
      port = Integer.parseInt(text.substring(colon + 1));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("not of the form IP:port: " + text, e);
    }
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port must be 1 to " + MAX_PORT + ": " + text);
    }
    return new InetSocketAddress(text.substring(0, colon), port);
  }
}
