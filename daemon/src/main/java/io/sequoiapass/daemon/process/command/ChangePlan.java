package io.sequoiapass.daemon.process.command;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.sequoiapass.coordination.version.EndpointState;
import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.daemon.connection.platform.StoredObject;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Difference between a configuration file and the platform, as writes in an order in which no
 * object refers to one that does not exist yet.
 *
 * <p>Not safe for use by several threads.
 */
final class ChangePlan {

  private final ConfigurationFile file;
  private final Map<PlatformKind, Map<String, StoredObject>> held =
      new EnumMap<>(PlatformKind.class);

  ChangePlan(ConfigurationFile file, PlatformSession platform) throws CommandException {
    this.file = file;
    for (ObjectFormat format : ObjectFormat.values()) {
      index(format.kind(), platform.list(format.kind()));
    }
    index(PlatformKind.PRESET, platform.list(PlatformKind.PRESET));
  }

  private void index(PlatformKind kind, List<StoredObject> objects) {
    Map<String, StoredObject> byName = new LinkedHashMap<>();
    objects.forEach(object -> byName.put(object.name(), object));
    held.put(kind, byName);
  }

  private Optional<StoredObject> held(PlatformKind kind, String name) {
    return Optional.ofNullable(held.get(kind).get(name));
  }

  /** Returns the required writes; empty if the platform matches the file. */
  List<Change> changes(long presetAtMs) throws FileProblem {
    checkNames();
    List<Change> changes = new ArrayList<>();
    for (ConfigurationFile.Desired desired : file.objects()) {
      Optional<StoredObject> before = held(desired.kind(), desired.name());
      JsonObject after = desired.value().deepCopy();
      if (desired.kind() == PlatformKind.ENDPOINT && !after.has(ObjectFormat.STATE)) {
        after.addProperty(ObjectFormat.STATE, currentState(before));
      }
      changes.add(new Change(desired.kind(), desired.name(), before, Optional.of(after)));
    }
    for (ConfigurationFile.Removal removal : file.removals()) {
      Optional<StoredObject> before = held(removal.kind(), removal.name());
      changes.add(new Change(removal.kind(), removal.name(), before, Optional.empty()));
    }
    file.preset().ifPresent(name -> changes.add(presetChange(name, presetAtMs)));
    return changes.stream().filter(Change::isNeeded).toList();
  }

  private static String currentState(Optional<StoredObject> before) {
    return before
        .map(object -> object.value().get(ObjectFormat.STATE))
        .map(JsonElement::getAsString)
        .orElse(EndpointState.ACTIVE.name());
  }

  private Change presetChange(Preset name, long presetAtMs) {
    Optional<StoredObject> before = held(PlatformKind.PRESET, PlatformKind.CURRENT_PRESET);
    JsonObject after = PresetCommand.value(name, presetAtMs);
    if (PresetCommand.isSelected(before, name)) {
      after = before.orElseThrow().value();
    }
    return new Change(PlatformKind.PRESET, PlatformKind.CURRENT_PRESET, before, Optional.of(after));
  }

  /** Checks that every name that the file refers to exists after all writes. */
  private void checkNames() throws FileProblem {
    Map<PlatformKind, Set<String>> existing = namesAfterWrites();
    List<String> problems = new ArrayList<>();
    for (ConfigurationFile.Desired desired : file.objects()) {
      check(desired, "adapters", PlatformKind.ADAPTER, existing, problems);
      check(desired, "endpoints", PlatformKind.ENDPOINT, existing, problems);
      check(desired, "service", PlatformKind.SERVICE, existing, problems);
    }
    checkRemovals(problems);
    if (!problems.isEmpty()) {
      throw new FileProblem(String.join("\n", problems));
    }
  }

  private Map<PlatformKind, Set<String>> namesAfterWrites() {
    Map<PlatformKind, Set<String>> names = new EnumMap<>(PlatformKind.class);
    held.forEach((kind, objects) -> names.put(kind, new HashSet<>(objects.keySet())));
    file.objects().forEach(desired -> names.get(desired.kind()).add(desired.name()));
    file.removals().forEach(removal -> names.get(removal.kind()).remove(removal.name()));
    return names;
  }

  private static void check(
      ConfigurationFile.Desired desired,
      String member,
      PlatformKind kind,
      Map<PlatformKind, Set<String>> existing,
      List<String> problems) {
    for (String name : named(desired.value(), member)) {
      if (!existing.get(kind).contains(name)) {
        problems.add(
            desired.position()
                + ": "
                + member
                + " names '"
                + name
                + "'; allowed: a name of an "
                + "object of kind "
                + kind.word()
                + " in this file or on the platform");
      }
    }
  }

  /** Returns the names of other objects in a member, without the wildcard. */
  private static List<String> named(JsonObject value, String member) {
    JsonElement element = value.get(member);
    if (element == null) {
      return List.of();
    }
    List<String> names = new ArrayList<>();
    if (element instanceof JsonArray array) {
      array.forEach(item -> names.add(item.getAsString()));
    } else {
      names.add(element.getAsString());
    }
    names.remove("*");
    return names;
  }

  /** Checks that no remaining object refers to a removed one. */
  private void checkRemovals(List<String> problems) {
    for (ConfigurationFile.Removal removal : file.removals()) {
      held.forEach(
          (kind, objects) ->
              objects.values().stream()
                  .filter(object -> isUnchanged(kind, object.name()))
                  .filter(object -> names(object.value(), removal))
                  .forEach(object -> problems.add(stillReferenced(removal, kind, object.name()))));
    }
  }

  /** Returns whether an object of the platform is neither removed nor replaced by the file. */
  private boolean isUnchanged(PlatformKind kind, String name) {
    return file.removals().stream().noneMatch(r -> r.kind() == kind && r.name().equals(name))
        && file.objects().stream().noneMatch(w -> w.kind() == kind && w.name().equals(name));
  }

  private static boolean names(JsonObject value, ConfigurationFile.Removal removal) {
    return switch (removal.kind()) {
      case ADAPTER -> named(value, "adapters").contains(removal.name());
      case ENDPOINT -> named(value, "endpoints").contains(removal.name());
      case SERVICE -> named(value, "service").contains(removal.name());
      default -> false;
    };
  }

  private static String stillReferenced(
      ConfigurationFile.Removal removal, PlatformKind kind, String name) {
    return removal.position()
        + ": "
        + removal.kind().word()
        + " '"
        + removal.name()
        + "' is still referred to by "
        + kind.word()
        + " '"
        + name
        + "'; allowed: objects that no other refers to";
  }
}
