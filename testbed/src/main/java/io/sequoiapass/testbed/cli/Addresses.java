package io.sequoiapass.testbed.cli;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Makes and reads addresses; everything of the testbed listens on the loopback interface. */
public final class Addresses {

  private Addresses() {}

  /**
   * Returns the loopback address with a port.
   *
   * @param port the port
   */
  public static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /**
   * Reads an address.
   *
   * @param flag the flag that the text stands in, for the message
   * @param text host and port joined by a colon
   * @throws UsageException if the text is no address
   */
  public static InetSocketAddress parse(String flag, String text) throws UsageException {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return new InetSocketAddress(text.substring(0, Math.max(0, colon)), port);
    } catch (IllegalArgumentException e) {
      throw new UsageException("--" + flag + " must be host:port: " + text);
    }
  }

  /**
   * Returns an address as flags take it.
   *
   * @param address the address
   */
  public static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
