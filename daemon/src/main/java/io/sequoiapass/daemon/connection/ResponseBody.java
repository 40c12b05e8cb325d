package io.sequoiapass.daemon.connection;

import com.google.gson.stream.JsonReader;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;

/** Tells from its content whether a buffered body is broken off. */
public final class ResponseBody {

  /** Levels up to which a document is read; deeper ones would take memory for each level. */
  private static final int MAX_DEPTH = 10_000;

  private ResponseBody() {}

  /**
   * Returns whether a body is certainly broken off: it ended with its connection, which a server
   * that fails closes, too, and it ends inside a JSON document. Other content does not tell.
   *
   * @param headers the headers of the response
   * @param body the body
   */
  public static boolean isBrokenOff(HttpHeaders headers, byte[] body) {
    return BodyFraming.of(headers) == BodyFraming.CONNECTION
        && HttpHeaderValues.APPLICATION_JSON.contentEqualsIgnoreCase(
            HttpUtil.getMimeType(headers.get(HttpHeaderNames.CONTENT_TYPE, "")))
        && startsDocument(body)
        && endsInsideDocument(body);
  }

  private static boolean startsDocument(byte[] body) {
    for (byte next : body) {
      if (!Character.isWhitespace(next)) {
        return next == '{' || next == '[';
      }
    }
    return false;
  }

  /** Returns whether all documents are complete; one that is nested too deeply counts as it is. */
  private static boolean isComplete(JsonReader reader) throws IOException {
    reader.setNestingLimit(MAX_DEPTH + 1);
    int depth = 0;
    while (depth < MAX_DEPTH) {
      switch (reader.peek()) {
        case BEGIN_ARRAY -> {
          reader.beginArray();
          depth++;
        }
        case BEGIN_OBJECT -> {
          reader.beginObject();
          depth++;
        }
        case END_ARRAY -> {
          reader.endArray();
          depth--;
        }
        case END_OBJECT -> {
          reader.endObject();
          depth--;
        }
        case END_DOCUMENT -> {
          return true;
        }
        default -> reader.skipValue();
      }
    }
    return true;
  }

  private static boolean endsInsideDocument(byte[] body) {
    String text = new String(body, StandardCharsets.UTF_8);
    try (JsonReader reader = new JsonReader(new StringReader(text))) {
      // Some servers write NaN, or several documents, which does not break the body off.
      reader.setLenient(true);
      return !isComplete(reader);
    } catch (IOException incomplete) {
      return true;
    }
  }
}
