package io.sequoiapass.daemon.process.settings;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.daemon.process.log.LogFormat;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Says how the text of a setting is checked. */
enum SettingType {
  /** A name of the system: daemon, data centre or host. */
  NAME {
    @Override
    String allowed(Setting setting) {
      return "1 to 200 visible ASCII characters without space, comma, '@' or '='";
    }

    @Override
    void check(Setting setting, String text) throws SettingsException {
      if (!text.matches("[!-~&&[^,@=]]{1,200}")) {
        throw wrong(setting, text);
      }
    }
  },
  /** A whole number in a range. */
  NUMBER {
    @Override
    String allowed(Setting setting) {
      return setting.minimum() + " to " + setting.maximum() + setting.unitSuffix();
    }

    @Override
    void check(Setting setting, String text) throws SettingsException {
      long number;
      try {
        number = Long.parseLong(text);
      } catch (NumberFormatException e) {
        throw wrong(setting, text);
      }
      if (number < setting.minimum() || number > setting.maximum()) {
        throw wrong(setting, text);
      }
    }
  },
  /** An IP number to listen on. */
  LISTEN_ADDRESS {
    @Override
    String allowed(Setting setting) {
      return "an IP number of this host, 0.0.0.0 for all, or localhost";
    }

    @Override
    void check(Setting setting, String text) throws SettingsException {
      if (!Addresses.isLiteral(text)) {
        throw wrong(setting, text);
      }
    }
  },
  /** The address of another process. */
  ADDRESS {
    @Override
    String allowed(Setting setting) {
      return Addresses.ALLOWED;
    }

    @Override
    void check(Setting setting, String text) throws SettingsException {
      Addresses.parse(setting.names(), text);
    }
  },
  /** Other daemons and their peer addresses. */
  PEERS {
    @Override
    String allowed(Setting setting) {
      return "id@dataCentre=host:port, several separated by commas, each id once; or nothing";
    }

    @Override
    void check(Setting setting, String text) throws SettingsException {
      parsePeers(setting, text);
    }
  },
  /** Yes or no. */
  SWITCH {
    @Override
    String allowed(Setting setting) {
      return "true or false";
    }

    @Override
    void check(Setting setting, String text) throws SettingsException {
      if (!text.equals("true") && !text.equals("false")) {
        throw wrong(setting, text);
      }
    }
  },
  /** A log format. */
  LOG_FORMAT {
    @Override
    String allowed(Setting setting) {
      return "text or json";
    }

    @Override
    void check(Setting setting, String text) throws SettingsException {
      boolean known =
          Arrays.stream(LogFormat.values())
              .anyMatch(format -> format.name().toLowerCase(Locale.ROOT).equals(text));
      if (!known) {
        throw wrong(setting, text);
      }
    }
  },
  /** What the placement weighs more heavily. */
  PREFERENCE {
    @Override
    String allowed(Setting setting) {
      return "stalls or batches";
    }

    @Override
    void check(Setting setting, String text) throws SettingsException {
      if (!text.equals("stalls") && !text.equals("batches")) {
        throw wrong(setting, text);
      }
    }
  },
  /** A placement. */
  POLICY {
    @Override
    String allowed(Setting setting) {
      return "adaptive or lru";
    }

    @Override
    void check(Setting setting, String text) throws SettingsException {
      if (!text.equals("adaptive") && !text.equals("lru")) {
        throw wrong(setting, text);
      }
    }
  };

  /** Returns what a setting of this type may hold, for messages and pages. */
  abstract String allowed(Setting setting);

  /** Throws if the text is not allowed. */
  abstract void check(Setting setting, String text) throws SettingsException;

  static List<PeerAddress> parsePeers(Setting setting, String text) throws SettingsException {
    List<PeerAddress> peers = new ArrayList<>();
    if (text.isBlank()) {
      return peers;
    }
    for (String part : text.split(",", -1)) {
      PeerAddress peer = parsePeer(setting, part.strip());
      if (peers.stream().anyMatch(known -> known.daemon().equals(peer.daemon()))) {
        throw wrong(setting, part);
      }
      peers.add(peer);
    }
    return peers;
  }

  private static PeerAddress parsePeer(Setting setting, String part) throws SettingsException {
    int at = part.indexOf('@');
    int equals = part.indexOf('=');
    if (at <= 0 || equals <= at + 1) {
      throw wrong(setting, part);
    }
    String daemon = part.substring(0, at);
    String dataCentre = part.substring(at + 1, equals);
    NAME.check(setting, daemon);
    NAME.check(setting, dataCentre);
    return new PeerAddress(
        new DaemonId(daemon),
        new DataCentreId(dataCentre),
        Addresses.parse(setting.names(), part.substring(equals + 1)));
  }

  private static SettingsException wrong(Setting setting, String text) {
    return SettingsException.wrongValue(setting.names(), text, setting.allowed());
  }
}
