package io.sequoiapass.daemon.process.explain;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.Optional;

/**
 * One entry of a daemon's decision log.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class DecisionLine {

  private final JsonObject fields;

  private DecisionLine(JsonObject fields) {
    this.fields = fields;
  }

  /**
   * Parses a line; text before the first brace, such as a log collector's prefix, is ignored.
   *
   * @param text the line
   * @return the entry, or empty if the line is not one
   */
  static Optional<DecisionLine> parse(String text) {
    int begin = text.indexOf('{');
    if (begin < 0) {
      return Optional.empty();
    }
    try {
      JsonElement value = JsonParser.parseString(text.substring(begin));
      return value.isJsonObject() && value.getAsJsonObject().has("event")
          ? Optional.of(new DecisionLine(value.getAsJsonObject()))
          : Optional.empty();
    } catch (JsonParseException e) {
      return Optional.empty();
    }
  }

  String event() {
    return text("event");
  }

  /** Returns a field as text, or an empty string if it is absent. */
  String text(String field) {
    return has(field) ? fields.get(field).getAsString() : "";
  }

  /** Returns a field as a number, or 0 if it is absent or not a number. */
  long number(String field) {
    try {
      return has(field) ? fields.get(field).getAsLong() : 0;
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  boolean has(String field) {
    return fields.has(field) && fields.get(field).isJsonPrimitive();
  }

  /** Returns the entry as JSON. */
  @Override
  public String toString() {
    return fields.toString();
  }
}
