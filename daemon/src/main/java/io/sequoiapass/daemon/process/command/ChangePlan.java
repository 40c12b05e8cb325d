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
 * Compares what a file asks for with what the platform holds, and lists the writes in an order in
 * which no object names one that is not there yet.
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
      hold(format.kind(), platform.list(format.kind()));
    }
    hold(PlatformKind.PRESET, platform.list(PlatformKind.PRESET));
  }

  private void hold(PlatformKind kind, List<StoredObject> objects) {
    Map<String, StoredObject> byName = new LinkedHashMap<>();
    objects.forEach(object -> byName.put(object.name(), object));
    held.put(kind, byName);
  }

  private Optional<StoredObject> held(PlatformKind kind, String name) {
    return Optional.ofNullable(held.get(kind).get(name));
  }

  /** Returns the writes that are needed; none if all is as asked. */
  List<Change> changes(long presetAtMs) throws FileProblem {
    checkNames();
    List<Change> changes = new ArrayList<>();
    for (ConfigurationFile.Wanted wanted : file.objects()) {
      Optional<StoredObject> before = held(wanted.kind(), wanted.name());
      JsonObject after = wanted.value().deepCopy();
      if (wanted.kind() == PlatformKind.ENDPOINT && !after.has(ObjectFormat.STATE)) {
        after.addProperty(ObjectFormat.STATE, keptState(before));
      }
      changes.add(new Change(wanted.kind(), wanted.name(), before, Optional.of(after)));
    }
    for (ConfigurationFile.Removal removal : file.removals()) {
      Optional<StoredObject> before = held(removal.kind(), removal.name());
      changes.add(new Change(removal.kind(), removal.name(), before, Optional.empty()));
    }
    file.preset().ifPresent(name -> changes.add(presetChange(name, presetAtMs)));
    return changes.stream().filter(Change::needed).toList();
  }

  private static String keptState(Optional<StoredObject> before) {
    return before
        .map(object -> object.value().get(ObjectFormat.STATE))
        .map(JsonElement::getAsString)
        .orElse(EndpointState.ACTIVE.name());
  }

  private Change presetChange(Preset name, long presetAtMs) {
    Optional<StoredObject> before = held(PlatformKind.PRESET, PlatformKind.CURRENT_PRESET);
    JsonObject after = PresetCommand.value(name, presetAtMs);
    if (PresetCommand.holds(before, name)) {
      after = before.orElseThrow().value();
    }
    return new Change(PlatformKind.PRESET, PlatformKind.CURRENT_PRESET, before, Optional.of(after));
  }

  /** Checks that every name which the file gives is there once all is written. */
  private void checkNames() throws FileProblem {
    Map<PlatformKind, Set<String>> there = namesAfter();
    List<String> problems = new ArrayList<>();
    for (ConfigurationFile.Wanted wanted : file.objects()) {
      check(wanted, "adapters", PlatformKind.ADAPTER, there, problems);
      check(wanted, "endpoints", PlatformKind.ENDPOINT, there, problems);
      check(wanted, "service", PlatformKind.SERVICE, there, problems);
    }
    checkRemovals(problems);
    if (!problems.isEmpty()) {
      throw new FileProblem(String.join("\n", problems));
    }
  }

  private Map<PlatformKind, Set<String>> namesAfter() {
    Map<PlatformKind, Set<String>> names = new EnumMap<>(PlatformKind.class);
    held.forEach((kind, objects) -> names.put(kind, new HashSet<>(objects.keySet())));
    file.objects().forEach(wanted -> names.get(wanted.kind()).add(wanted.name()));
    file.removals().forEach(removal -> names.get(removal.kind()).remove(removal.name()));
    return names;
  }

  private static void check(
      ConfigurationFile.Wanted wanted,
      String member,
      PlatformKind kind,
      Map<PlatformKind, Set<String>> there,
      List<String> problems) {
    for (String name : named(wanted.value(), member)) {
      if (!there.get(kind).contains(name)) {
        problems.add(
            wanted.place()
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

  /** Returns the names of other objects that a member holds, apart from the star. */
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

  /** Checks that nothing which stays names an object that goes. */
  private void checkRemovals(List<String> problems) {
    for (ConfigurationFile.Removal removal : file.removals()) {
      held.forEach(
          (kind, objects) ->
              objects.values().stream()
                  .filter(object -> stays(kind, object.name()))
                  .filter(object -> names(object.value(), removal))
                  .forEach(object -> problems.add(stillNamed(removal, kind, object.name()))));
    }
  }

  /** Returns whether an object of the platform is neither removed nor replaced by the file. */
  private boolean stays(PlatformKind kind, String name) {
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

  private static String stillNamed(
      ConfigurationFile.Removal removal, PlatformKind kind, String name) {
    return removal.place()
        + ": "
        + removal.kind().word()
        + " '"
        + removal.name()
        + "' is still named by "
        + kind.word()
        + " '"
        + name
        + "'; allowed: what nothing names";
  }
}
