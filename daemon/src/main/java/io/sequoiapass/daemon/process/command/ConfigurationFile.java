package io.sequoiapass.daemon.process.command;

import com.google.gson.JsonObject;
import io.sequoiapass.coordination.version.Preset;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds what a configuration file asks for, checked by itself.
 *
 * @param objects the objects that shall be there, in the order of writing
 * @param removals the objects that shall be gone, in the order of deleting
 * @param preset the preset that shall be in force
 */
record ConfigurationFile(List<Wanted> objects, List<Removal> removals, Optional<Preset> preset) {

  /**
   * Holds one object that shall be there.
   *
   * @param kind its kind
   * @param name its name
   * @param value its value
   * @param place where the file gives it
   */
  record Wanted(PlatformKind kind, String name, JsonObject value, String place) {}

  /**
   * Holds one object that shall be gone.
   *
   * @param kind its kind
   * @param name its name
   * @param place where the file gives it
   */
  record Removal(PlatformKind kind, String name, String place) {}

  static ConfigurationFile parse(String text) throws FileProblem {
    List<String> problems = new ArrayList<>();
    FileObject file = new FileObject(FileValue.read(text), problems);
    List<Wanted> objects = new ArrayList<>();
    for (ObjectFormat format : ObjectFormat.values()) {
      for (Map.Entry<String, FileValue> entry : file.entries(format.member())) {
        FileObject object = new FileObject(entry.getValue(), problems);
        JsonObject value = format.read(object);
        object.refuseUnknown();
        objects.add(new Wanted(format.kind(), entry.getKey(), value, object.place()));
      }
    }
    Optional<Preset> preset =
        file.has("preset") ? Optional.of(file.choice("preset", Preset.values())) : Optional.empty();
    List<Removal> removals = removals(file);
    file.refuseUnknown();
    refuseBoth(objects, removals, problems);
    if (!problems.isEmpty()) {
      throw new FileProblem(String.join("\n", problems));
    }
    return new ConfigurationFile(List.copyOf(objects), removals, preset);
  }

  /** Reads removals, endpoints first: what names others goes before what is named. */
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
          removals.add(new Removal(formats[i].kind(), name, remove.get().place()));
        }
      }
    }
    remove.get().refuseUnknown();
    return removals;
  }

  private static void refuseBoth(
      List<Wanted> objects, List<Removal> removals, List<String> problems) {
    for (Removal removal : removals) {
      for (Wanted wanted : objects) {
        if (wanted.kind() == removal.kind() && wanted.name().equals(removal.name())) {
          problems.add(
              removal.place()
                  + ": "
                  + removal.kind().word()
                  + " '"
                  + removal.name()
                  + "' is removed here and given at "
                  + wanted.place());
        }
      }
    }
  }
}
