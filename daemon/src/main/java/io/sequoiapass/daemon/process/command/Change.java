package io.sequoiapass.daemon.process.command;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.platform.StoredObject;
import java.util.Optional;
import java.util.Set;
import java.util.StringJoiner;
import java.util.TreeSet;

/**
 * One write that makes the platform match a file.
 *
 * @param kind the kind of the object
 * @param name its name
 * @param before its present state on the platform; empty if it does not exist
 * @param after its value after the write; empty to delete it
 */
record Change(
    PlatformKind kind, String name, Optional<StoredObject> before, Optional<JsonObject> after) {

  /** Returns the version that the write is conditional on. */
  long version() {
    return before.map(StoredObject::version).orElse(PlatformSession.ABSENT);
  }

  boolean isNeeded() {
    return !before.map(StoredObject::value).equals(after);
  }

  /** Returns kind and name. */
  String subject() {
    return kind.word() + " " + name;
  }

  /** Returns a one-line description for the operator. */
  String description() {
    if (after.isEmpty()) {
      return "- " + subject();
    }
    if (before.isEmpty()) {
      return "+ " + subject() + " " + after.get();
    }
    return "~ " + subject() + ": " + difference(before.get().value(), after.get());
  }

  private static String difference(JsonObject old, JsonObject changed) {
    Set<String> members = new TreeSet<>(old.keySet());
    members.addAll(changed.keySet());
    StringJoiner text = new StringJoiner(", ");
    for (String member : members) {
      JsonElement from = old.get(member);
      JsonElement to = changed.get(member);
      if (from == null || !from.equals(to)) {
        text.add(
            member + " " + (from == null ? "none" : from) + " -> " + (to == null ? "none" : to));
      }
    }
    return text.toString();
  }
}
