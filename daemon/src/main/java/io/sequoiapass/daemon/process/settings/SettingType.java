package io.sequoiapass.daemon.process.settings;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.daemon.process.log.LogFormat;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/** Type of a setting's value, with its validation. */
enum SettingType {
  /** A name of a daemon, data centre or host. */
  NAME {
    @Override
    String allowed(Setting setting) {
      return "1 to 200 visible ASCII characters without space, comma, '@' or '='";
    }

    @Override
    void check(Setting setting, String text) throws SettingsException {
      if (!text.matches("[!-~&&[^,@=]]{1,200}")) {
        throw invalid(setting, text);
      }
    }
  },
  /** An integer in a range. */
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
        throw invalid(setting, text);
      }
      if (number < setting.minimum() || number > setting.maximum()) {
        throw invalid(setting, text);
      }
    }
  },
  /** An IP address to listen on. */
  LISTEN_ADDRESS {
    @Override
    String allowed(Setting setting) {
      return "an IP address of this host, 0.0.0.0 for all, or localhost";
    }

    @Override
    void check(Setting setting, String text) throws SettingsException {
      if (!Addresses.isLiteral(text)) {
        throw invalid(setting, text);
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
  /** A list of other daemons with their peer addresses. */
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
  /** A boolean. */
  SWITCH {
    @Override
    String allowed(Setting setting) {
      return "true or false";
    }

    @Override
    void check(Setting setting, String text) throws SettingsException {
      if (!text.equals("true") && !text.equals("false")) {
        throw invalid(setting, text);
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
        throw invalid(setting, text);
      }
    }
  },
  /** What the placement of adapters weighs more heavily. */
  PREFERENCE {
    @Override
    String allowed(Setting setting) {
      return "stalls or batches";
    }

    @Override
    void check(Setting setting, String text) throws SettingsException {
      if (!text.equals("stalls") && !text.equals("batches")) {
        throw invalid(setting, text);
      }
    }
  },
  /** A placement policy. */
  POLICY {
    @Override
    String allowed(Setting setting) {
      return "adaptive or lru";
    }

    @Override
    void check(Setting setting, String text) throws SettingsException {
      if (!text.equals("adaptive") && !text.equals("lru")) {
        throw invalid(setting, text);
      }
    }
  };

  /** Returns the description of allowed values, for error messages and documentation. */
  abstract String allowed(Setting setting);

  /** Throws an exception if the text is not an allowed value. */
  abstract void check(Setting setting, String text) throws SettingsException;

  static List<PeerAddress> parsePeers(Setting setting, String text) throws SettingsException {
    List<PeerAddress> peers = new ArrayList<>();
    if (text.isBlank()) {
      return peers;
    }
    for (String part : text.split(",", -1)) {
      PeerAddress peer = parsePeer(setting, part.strip());
      if (peers.stream().anyMatch(known -> known.daemon().equals(peer.daemon()))) {
        throw invalid(setting, part);
      }
      peers.add(peer);
    }
    return peers;
  }

  private static PeerAddress parsePeer(Setting setting, String part) throws SettingsException {
    int at = part.indexOf('@');
    int equals = part.indexOf('=');
    if (at <= 0 || equals <= at + 1) {
      throw invalid(setting, part);
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

  private static SettingsException invalid(Setting setting, String text) {
    return SettingsException.wrongValue(setting.names(), text, setting.allowed());
  }
}
