package io.sequoiapass.daemon.process.command;

import io.sequoiapass.daemon.process.settings.SettingsException;
import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/** Kinds of objects on the platform, in the order in which they are written. */
enum PlatformKind {
  ADAPTER,
  SERVICE,
  ENDPOINT,
  PRESET,
  LEASE,
  OWNERSHIP;

  /** Name of the only object of kind preset. */
  static final String CURRENT_PRESET = "current";

  /** Returns the kind's name on the platform. */
  String word() {
    return name().toLowerCase(Locale.ROOT);
  }

  static PlatformKind parse(String word) throws SettingsException {
    for (PlatformKind kind : values()) {
      if (kind.word().equals(word)) {
        return kind;
      }
    }
    String allowed =
        Arrays.stream(values()).map(PlatformKind::word).collect(Collectors.joining(", "));
    throw SettingsException.wrongValue("KIND", word, allowed);
  }
}
