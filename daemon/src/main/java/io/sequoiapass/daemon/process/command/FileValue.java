package io.sequoiapass.daemon.process.command;

import com.google.gson.JsonParseException;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import com.google.gson.stream.MalformedJsonException;
import java.io.EOFException;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * JSON value of a configuration file with its position, for error messages.
 *
 * <p>Gson's own tree keeps no positions and silently drops the first of two members with the same
 * name.
 *
 * @param position line, column and path
 * @param type the type of the value
 * @param text the text of a scalar, else empty
 * @param members the members of an object, else empty
 * @param items the items of an array, else empty
 */
record FileValue(
    String position,
    JsonToken type,
    String text,
    Map<String, FileValue> members,
    List<FileValue> items) {

  /** Deeper values are rejected before they overflow the stack. */
  private static final int MAX_DEPTH = 16;

  static FileValue read(String text) throws FileProblem {
    JsonReader reader = new JsonReader(new StringReader(text));
    // The only strictness that allows comments.
    reader.setStrictness(Strictness.LENIENT);
    try {
      FileValue value = read(reader, 0);
      if (reader.peek() != JsonToken.END_DOCUMENT) {
        throw new FileProblem(position(reader) + ": unexpected text after the end");
      }
      return value;
    } catch (MalformedJsonException | JsonParseException | IllegalStateException e) {
      throw new FileProblem(position(reader) + ": invalid JSON: " + firstLine(e));
    } catch (EOFException e) {
      throw new FileProblem(position(reader) + ": unexpected end of file");
    } catch (IOException e) {
      throw new FileProblem(position(reader) + ": " + firstLine(e));
    }
  }

  private static FileValue read(JsonReader reader, int depth) throws IOException, FileProblem {
    JsonToken type = reader.peek();
    String position = position(reader);
    if (depth > MAX_DEPTH) {
      throw new FileProblem(position + ": nested deeper than " + MAX_DEPTH);
    }
    return switch (type) {
      case BEGIN_OBJECT -> new FileValue(position, type, "", members(reader, depth), List.of());
      case BEGIN_ARRAY -> new FileValue(position, type, "", Map.of(), items(reader, depth));
      case BOOLEAN -> scalar(position, type, Boolean.toString(reader.nextBoolean()));
      case NULL -> {
        reader.nextNull();
        yield scalar(position, type, "null");
      }
      default -> scalar(position, type, reader.nextString());
    };
  }

  private static FileValue scalar(String position, JsonToken type, String text) {
    return new FileValue(position, type, text, Map.of(), List.of());
  }

  private static Map<String, FileValue> members(JsonReader reader, int depth)
      throws IOException, FileProblem {
    Map<String, FileValue> members = new LinkedHashMap<>();
    reader.beginObject();
    while (reader.hasNext()) {
      String name = reader.nextName();
      FileValue value = read(reader, depth + 1);
      if (members.put(name, value) != null) {
        throw new FileProblem(value.position + ": '" + name + "' is given twice");
      }
    }
    reader.endObject();
    return members;
  }

  private static List<FileValue> items(JsonReader reader, int depth)
      throws IOException, FileProblem {
    List<FileValue> items = new ArrayList<>();
    reader.beginArray();
    while (reader.hasNext()) {
      items.add(read(reader, depth + 1));
    }
    reader.endArray();
    return items;
  }

  private static String position(JsonReader reader) {
    return reader.toString().replaceFirst("^JsonReader at ", "");
  }

  private static String firstLine(Exception e) {
    return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
  }

  /** Returns the value as shown in error messages. */
  String description() {
    return switch (type) {
      case BEGIN_OBJECT -> "an object";
      case BEGIN_ARRAY -> "an array";
      case STRING -> "'" + text + "'";
      default -> text;
    };
  }
}
