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
 * Reader for the members of one object of a configuration file that collects all errors.
 *
 * <p>For an invalid value, a method records a problem and returns a placeholder. The caller checks
 * the problems at the end, so that an operator sees all of them in one run.
 *
 * <p>Not safe for use by several threads.
 */
final class FileObject {

  /** Description of an allowed name, for error messages. */
  static final String NAME_ALLOWED =
      "1 to 200 visible ASCII characters without space, comma, '@' or '='";

  private static final String NAME_PATTERN = "[!-~&&[^,@=]]{1,200}";

  private final FileValue value;
  private final List<String> problems;
  private final Set<String> knownMembers = new LinkedHashSet<>();

  FileObject(FileValue value, List<String> problems) {
    this.value = value;
    this.problems = problems;
    if (value.type() != JsonToken.BEGIN_OBJECT) {
      addProblem(value, "an object");
    }
  }

  void addProblem(FileValue found, String allowed) {
    problems.add(found.position() + ": " + found.description() + " is wrong; allowed: " + allowed);
  }

  static boolean isName(String text) {
    return text.matches(NAME_PATTERN);
  }

  String position() {
    return value.position();
  }

  boolean has(String member) {
    knownMembers.add(member);
    return value.members().containsKey(member);
  }

  /** Returns a member, or null after recording a problem if it is absent. */
  private FileValue required(String member, String allowed) {
    if (!has(member)) {
      problems.add(value.position() + ": '" + member + "' is not given; allowed: " + allowed);
      return null;
    }
    return value.members().get(member);
  }

  /** Returns the entries of an object member by name; empty if the member is absent. */
  List<Map.Entry<String, FileValue>> entries(String member) {
    if (!has(member)) {
      return List.of();
    }
    FileValue holder = value.members().get(member);
    if (holder.type() != JsonToken.BEGIN_OBJECT) {
      addProblem(holder, "an object with a member for each name");
    }
    for (Map.Entry<String, FileValue> entry : holder.members().entrySet()) {
      if (!isName(entry.getKey())) {
        problems.add(
            entry.getValue().position()
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
      addProblem(found, allowed);
    }
    return found.text();
  }

  String name(String member) {
    return text(member, FileObject::isName, NAME_ALLOWED);
  }

  List<String> names(String member, boolean wildcardAllowed) {
    String allowed = "an array of names, each once" + (wildcardAllowed ? ", or [\"*\"]" : "");
    FileValue found = required(member, allowed);
    if (found == null) {
      return List.of();
    }
    if (found.type() != JsonToken.BEGIN_ARRAY || found.items().isEmpty()) {
      addProblem(found, allowed);
    }
    List<String> names = new ArrayList<>();
    for (FileValue item : found.items()) {
      boolean wildcard = wildcardAllowed && item.text().equals("*") && found.items().size() == 1;
      boolean fits = wildcard || (isName(item.text()) && !item.text().equals("*"));
      if (item.type() != JsonToken.STRING || !fits || names.contains(item.text())) {
        addProblem(item, allowed);
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
    addProblem(found, allowed);
    return minimum;
  }

  boolean flag(String member) {
    FileValue found = required(member, "true or false");
    if (found != null && found.type() != JsonToken.BOOLEAN) {
      addProblem(found, "true or false");
    }
    return found != null && found.text().equals("true");
  }

  <E extends Enum<E>> E choice(String member, E[] choices) {
    String allowed = Arrays.toString(choices);
    String text =
        text(member, t -> Arrays.stream(choices).anyMatch(c -> c.name().equals(t)), allowed);
    return Arrays.stream(choices).filter(c -> c.name().equals(text)).findFirst().orElse(choices[0]);
  }

  /** Records a problem for every member that was not read, which is usually a misspelt name. */
  void rejectUnknown() {
    for (Map.Entry<String, FileValue> member : value.members().entrySet()) {
      if (!knownMembers.contains(member.getKey())) {
        problems.add(
            member.getValue().position()
                + ": '"
                + member.getKey()
                + "' is unknown; allowed: "
                + String.join(", ", knownMembers));
      }
    }
  }
}
