package io.sequoiapass.daemon.process.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parser for addresses of the form {@code host:port}, where the host is an IP address or {@code
 * localhost}.
 *
 * <pre>{@code
 * InetSocketAddress platform = Addresses.parse("--platform", "127.0.0.1:8400");
 * }</pre>
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class Addresses {

  /** Description of an allowed address, for error messages. */
  public static final String ALLOWED = "IP address or localhost, a colon, a port 1 to 65535";

  /**
   * Literal addresses only: resolving a host name while settings are read could block on a slow
   * name server, and the process would appear not to start.
   */
  private static final Pattern ADDRESS =
      Pattern.compile("(localhost|[0-9]{1,3}(?:\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+]):([0-9]{1,5})");

  private static final Pattern LISTEN =
      Pattern.compile(
          "localhost|[0-9]{1,3}(?:\\.[0-9]{1,3}){3}|\\[?[0-9a-fA-F:]*:[0-9a-fA-F:.]*]?");

  private static final int MAX_PORT = 65_535;
  private static final int MAX_OCTET = 255;

  private Addresses() {}

  /**
   * Parses one address.
   *
   * @param setting the name of the setting, for the error message
   * @param text the text to parse
   * @throws SettingsException if the text is not an address
   */
  public static InetSocketAddress parse(String setting, String text) throws SettingsException {
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches() || !octetsInRange(matcher.group(1))) {
      throw SettingsException.wrongValue(setting, text, ALLOWED);
    }
    int port = Integer.parseInt(matcher.group(2));
    if (port == 0 || port > MAX_PORT) {
      throw SettingsException.wrongValue(setting, text, ALLOWED);
    }
    return new InetSocketAddress(matcher.group(1), port);
  }

  /**
   * Parses a comma-separated list of addresses.
   *
   * @param setting the name of the setting, for the error message
   * @param text the text to parse
   * @throws SettingsException if a part is not an address
   */
  public static List<InetSocketAddress> parseList(String setting, String text)
      throws SettingsException {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (String part : text.split(",", -1)) {
      addresses.add(parse(setting, part.strip()));
    }
    return List.copyOf(addresses);
  }

  static boolean isLiteral(String text) {
    return LISTEN.matcher(text).matches() && octetsInRange(text);
  }

  private static boolean octetsInRange(String host) {
    if (host.indexOf(':') >= 0 || host.equals("localhost")) {
      return true;
    }
    for (String octet : host.split("\\.", -1)) {
      if (Integer.parseInt(octet) > MAX_OCTET) {
        return false;
      }
    }
    return true;
  }
}
