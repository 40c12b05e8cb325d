package io.sequoiapass.daemon.process.command;

import com.google.gson.stream.JsonToken;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Reads the members of one object of a configuration file and collects what is wrong with them.
 *
 * <p>A reader returns a stand-in for a wrong value; the caller looks at the problems in the end, so
 * that an operator sees all of them in one go.
 *
 * <p>Not safe for use by several threads.
 */
final class FileObject {

  /** What a name may look like. */
  static final String NAME_ALLOWED =
      "1 to 200 visible ASCII characters without space, comma, '@' or '='";

  private static final String NAME_PATTERN = "[!-~&&[^,@=]]{1,200}";

  private final FileValue value;
  private final List<String> problems;
  private final Set<String> known = new LinkedHashSet<>();

  FileObject(FileValue value, List<String> problems) {
    this.value = value;
    this.problems = problems;
    if (value.type() != JsonToken.BEGIN_OBJECT) {
      wrong(value, "an object");
    }
  }

  void wrong(FileValue found, String allowed) {
    problems.add(found.place() + ": " + found.shown() + " is wrong; allowed: " + allowed);
  }

  static boolean isName(String text) {
    return text.matches(NAME_PATTERN);
  }

  String place() {
    return value.place();
  }

  boolean has(String member) {
    known.add(member);
    return value.members().containsKey(member);
  }

  /** Returns a member, or null with a problem noted. */
  private FileValue required(String member, String allowed) {
    if (!has(member)) {
      problems.add(value.place() + ": '" + member + "' is not given; allowed: " + allowed);
      return null;
    }
    return value.members().get(member);
  }

  /** Returns each member's value as an object, by name. */
  List<Map.Entry<String, FileValue>> entries(String member) {
    if (!has(member)) {
      return List.of();
    }
    FileValue holder = value.members().get(member);
    if (holder.type() != JsonToken.BEGIN_OBJECT) {
      wrong(holder, "an object with a member for each name");
    }
    for (Map.Entry<String, FileValue> entry : holder.members().entrySet()) {
      if (!isName(entry.getKey())) {
        problems.add(
            entry.getValue().place()
                + ": name '"
                + entry.getKey()
                + "' is wrong; allowed: "
                + NAME_ALLOWED);
      }
    }
    return List.copyOf(holder.members().entrySet());
  }

  Optional<FileObject> object(String member) {
    return has(member)
        ? Optional.of(new FileObject(value.members().get(member), problems))
        : Optional.empty();
  }

  String text(String member, Predicate<String> check, String allowed) {
    FileValue found = required(member, allowed);
    if (found == null) {
      return "";
    }
    if (found.type() != JsonToken.STRING || !check.test(found.text())) {
      wrong(found, allowed);
    }
    return found.text();
  }

  String name(String member) {
    return text(member, FileObject::isName, NAME_ALLOWED);
  }

  List<String> names(String member, boolean starAllowed) {
    String allowed = "an array of names, each once" + (starAllowed ? ", or [\"*\"]" : "");
    FileValue found = required(member, allowed);
    if (found == null) {
      return List.of();
    }
    if (found.type() != JsonToken.BEGIN_ARRAY || found.items().isEmpty()) {
      wrong(found, allowed);
    }
    List<String> names = new ArrayList<>();
    for (FileValue item : found.items()) {
      boolean star = starAllowed && item.text().equals("*") && found.items().size() == 1;
      boolean fits = star || (isName(item.text()) && !item.text().equals("*"));
      if (item.type() != JsonToken.STRING || !fits || names.contains(item.text())) {
        wrong(item, allowed);
      }
      names.add(item.text());
    }
    return names;
  }

  long number(String member, long minimum, long maximum) {
    String allowed = "a whole number, " + minimum + " to " + maximum;
    FileValue found = required(member, allowed);
    if (found == null) {
      return minimum;
    }
    if (found.type() == JsonToken.NUMBER && found.text().matches("-?[0-9]{1,18}")) {
      long number = Long.parseLong(found.text());
      if (number >= minimum && number <= maximum) {
        return number;
      }
    }
    wrong(found, allowed);
    return minimum;
  }

  boolean flag(String member) {
    FileValue found = required(member, "true or false");
    if (found != null && found.type() != JsonToken.BOOLEAN) {
      wrong(found, "true or false");
    }
    return found != null && found.text().equals("true");
  }

  <E extends Enum<E>> E choice(String member, E[] choices) {
    String allowed = Arrays.toString(choices);
    String text =
        text(member, t -> Arrays.stream(choices).anyMatch(c -> c.name().equals(t)), allowed);
    return Arrays.stream(choices).filter(c -> c.name().equals(text)).findFirst().orElse(choices[0]);
  }

  /** Notes every member that nobody asked for: most often a name with a slip in it. */
  void refuseUnknown() {
    for (Map.Entry<String, FileValue> member : value.members().entrySet()) {
      if (!known.contains(member.getKey())) {
        problems.add(
            member.getValue().place()
                + ": '"
                + member.getKey()
                + "' is unknown; allowed: "
                + String.join(", ", known));
      }
    }
  }
}
