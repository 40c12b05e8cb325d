package io.sequoiapass.daemon.process.command;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.platform.StoredObject;
import java.util.Optional;
import java.util.Set;
import java.util.StringJoiner;
import java.util.TreeSet;

/**
 * Describes one write that brings the platform to what a file asks for.
 *
 * @param kind the object's kind
 * @param name its name
 * @param before what the platform holds, or nothing
 * @param after what it shall hold, or nothing
 */
record Change(
    PlatformKind kind, String name, Optional<StoredObject> before, Optional<JsonObject> after) {

  /** Returns the version that the write is conditional on. */
  long version() {
    return before.map(StoredObject::version).orElse(PlatformSession.ABSENT);
  }

  boolean needed() {
    return !before.map(StoredObject::value).equals(after);
  }

  /** Returns kind and name. */
  String subject() {
    return kind.word() + " " + name;
  }

  /** Returns one line for the operator. */
  String shown() {
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
