package io.sequoiapass.testbed.cli;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Creates and parses addresses; all parts of the testbed listen on the loopback interface. */
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
   * Parses an address.
   *
   * @param flag name of the flag that contains the text, for the error message
   * @param text host and port, separated by a colon
   * @throws UsageException if the text is not an address
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
   * Formats an address for use in a flag.
   *
   * @param address the address
   */
  public static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
