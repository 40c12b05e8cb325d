package io.sequoiapass.daemon.process.command;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.daemon.connection.platform.StoredObject;
import io.sequoiapass.daemon.process.settings.SettingsException;
import java.util.Arrays;
import java.util.Optional;
import java.util.UUID;

/**
 * Activates a preset at a time in the near future, so that all daemons have received it by then.
 */
final class PresetCommand {

  private static final String PRESET = "preset";
  private static final String EFFECTIVE_AT = "effective_at";

  private PresetCommand() {}

  static ExitCode run(Invocation invocation) throws CommandException, SettingsException {
    String word = invocation.words(1, 1, Command.PRESET.usage()).get(0);
    Preset name = parse(word);
    long delayMs = invocation.number(CommandFlag.IN_MS, 0, CommandFlag.DELAY_MAXIMUM_MS);
    var platformAddress = invocation.platform();
    try (CommandClient client = new CommandClient(invocation.timeoutMs())) {
      PlatformSession platform = new PlatformSession(client, platformAddress);
      Optional<StoredObject> before =
          platform.find(PlatformKind.PRESET, PlatformKind.CURRENT_PRESET);
      if (isSelected(before, name)) {
        invocation.out().println("preset " + name + " is already selected");
        return ExitCode.OK;
      }
      platform.put(
          PlatformKind.PRESET,
          PlatformKind.CURRENT_PRESET,
          value(name, MillisClock.wall().millis() + delayMs),
          before.map(StoredObject::version).orElse(PlatformSession.ABSENT),
          new OperationId("preset-" + UUID.randomUUID()));
      invocation.out().println("preset " + name + " takes effect in " + delayMs + " ms");
      return ExitCode.OK;
    }
  }

  private static Preset parse(String word) throws SettingsException {
    for (Preset name : Preset.values()) {
      if (name.name().equals(word)) {
        return name;
      }
    }
    throw SettingsException.wrongValue("NAME", word, Arrays.toString(Preset.values()));
  }

  static JsonObject value(Preset name, long effectiveAtMs) {
    JsonObject value = new JsonObject();
    value.addProperty(PRESET, name.name());
    value.addProperty(EFFECTIVE_AT, effectiveAtMs);
    return value;
  }

  /** Returns whether the platform's preset is the given one, active or scheduled. */
  static boolean isSelected(Optional<StoredObject> current, Preset name) {
    return current
        .map(object -> object.value().get(PRESET))
        .map(JsonElement::getAsString)
        .filter(name.name()::equals)
        .isPresent();
  }
}
