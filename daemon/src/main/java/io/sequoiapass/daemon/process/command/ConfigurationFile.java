package io.sequoiapass.daemon.process.command;

import com.google.gson.JsonObject;
import io.sequoiapass.coordination.version.Preset;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Content of a configuration file, validated without the platform.
 *
 * @param objects the objects to write, in the order of writing
 * @param removals the objects to delete, in the order of deletion
 * @param preset the preset to activate
 */
record ConfigurationFile(List<Desired> objects, List<Removal> removals, Optional<Preset> preset) {

  /**
   * One object to write.
   *
   * @param kind its kind
   * @param name its name
   * @param value its value
   * @param position its position in the file
   */
  record Desired(PlatformKind kind, String name, JsonObject value, String position) {}

  /**
   * One object to delete.
   *
   * @param kind its kind
   * @param name its name
   * @param position its position in the file
   */
  record Removal(PlatformKind kind, String name, String position) {}

  static ConfigurationFile parse(String text) throws FileProblem {
    List<String> problems = new ArrayList<>();
    FileObject file = new FileObject(FileValue.read(text), problems);
    List<Desired> objects = new ArrayList<>();
    for (ObjectFormat format : ObjectFormat.values()) {
      for (Map.Entry<String, FileValue> entry : file.entries(format.member())) {
        FileObject object = new FileObject(entry.getValue(), problems);
        JsonObject value = format.read(object);
        object.rejectUnknown();
        objects.add(new Desired(format.kind(), entry.getKey(), value, object.position()));
      }
    }
    Optional<Preset> preset =
        file.has("preset") ? Optional.of(file.choice("preset", Preset.values())) : Optional.empty();
    List<Removal> removals = removals(file);
    file.rejectUnknown();
    rejectConflicts(objects, removals, problems);
    if (!problems.isEmpty()) {
      throw new FileProblem(String.join("\n", problems));
    }
    return new ConfigurationFile(List.copyOf(objects), removals, preset);
  }

  /**
   * Reads the removals in reverse order of kinds: objects are deleted before those they refer to.
   */
  private static List<Removal> removals(FileObject file) {
    Optional<FileObject> remove = file.object("remove");
    if (remove.isEmpty()) {
      return List.of();
    }
    List<Removal> removals = new ArrayList<>();
    ObjectFormat[] formats = ObjectFormat.values();
    for (int i = formats.length - 1; i >= 0; i--) {
      String member = formats[i].member();
      if (remove.get().has(member)) {
        for (String name : remove.get().names(member, false)) {
          removals.add(new Removal(formats[i].kind(), name, remove.get().position()));
        }
      }
    }
    remove.get().rejectUnknown();
    return removals;
  }

  private static void rejectConflicts(
      List<Desired> objects, List<Removal> removals, List<String> problems) {
    for (Removal removal : removals) {
      for (Desired desired : objects) {
        if (desired.kind() == removal.kind() && desired.name().equals(removal.name())) {
          problems.add(
              removal.position()
                  + ": "
                  + removal.kind().word()
                  + " '"
                  + removal.name()
                  + "' is removed here and given at "
                  + desired.position());
        }
      }
    }
  }
}
