package io.sequoiapass.daemon.process.explain;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.Optional;

/**
 * One line that a daemon wrote for one decision.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class DecisionLine {

  private final JsonObject fields;

  private DecisionLine(JsonObject fields) {
    this.fields = fields;
  }

  /**
   * Reads a line; what a log collector put before the first brace is passed over.
   *
   * @param text the line
   * @return empty if it is not a decision
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

  /** Returns a field as text; empty where there is none. */
  String text(String field) {
    return has(field) ? fields.get(field).getAsString() : "";
  }

  /** Returns a field as a number; 0 where there is none or it is none. */
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
}
