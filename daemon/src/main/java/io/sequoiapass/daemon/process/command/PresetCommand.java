package io.sequoiapass.daemon.process.command;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.daemon.process.settings.SettingsException;
import java.util.Arrays;
import java.util.Optional;
import java.util.UUID;

/** Brings a preset into force at a moment that is ahead, so that all daemons know it by then. */
final class PresetCommand {

  private static final String PRESET = "preset";
  private static final String EFFECTIVE_AT = "effective_at";

  private PresetCommand() {}

  static ExitCode run(Invocation invocation) throws CommandException, SettingsException {
    String word = invocation.words(1, 1, Command.PRESET.usage()).get(0);
    PresetName name = parse(word);
    long delayMs = invocation.number(CommandFlag.IN_MS, 0, CommandFlag.DELAY_MAXIMUM_MS);
    var platformAddress = invocation.platform();
    try (CommandClient client = new CommandClient(invocation.timeoutMs())) {
      PlatformClient platform = new PlatformClient(client, platformAddress);
      Optional<PlatformObject> before = platform.find(ObjectKind.PRESET, ObjectKind.CURRENT_PRESET);
      if (holds(before, name)) {
        invocation.out().println("preset " + name + " is chosen already");
        return ExitCode.OK;
      }
      platform.put(
          ObjectKind.PRESET,
          ObjectKind.CURRENT_PRESET,
          value(name, MillisClock.wall().millis() + delayMs),
          before.map(PlatformObject::version).orElse(PlatformObject.ABSENT),
          new OperationId("preset-" + UUID.randomUUID()));
      invocation.out().println("preset " + name + " comes into force in " + delayMs + " ms");
      return ExitCode.OK;
    }
  }

  private static PresetName parse(String word) throws SettingsException {
    for (PresetName name : PresetName.values()) {
      if (name.name().equals(word)) {
        return name;
      }
    }
    throw SettingsException.wrongValue("NAME", word, Arrays.toString(PresetName.values()));
  }

  static JsonObject value(PresetName name, long effectiveAtMs) {
    JsonObject value = new JsonObject();
    value.addProperty(PRESET, name.name());
    value.addProperty(EFFECTIVE_AT, effectiveAtMs);
    return value;
  }

  /** Returns whether the platform's preset is that one already, in force or soon. */
  static boolean holds(Optional<PlatformObject> current, PresetName name) {
    return current
        .map(object -> object.value().get(PRESET))
        .map(JsonElement::getAsString)
        .filter(name.name()::equals)
        .isPresent();
  }
}
