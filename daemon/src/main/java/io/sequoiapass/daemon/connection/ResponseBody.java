package io.sequoiapass.daemon.connection;

import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;

/** Tells from its content whether a buffered body is broken off. */
public final class ResponseBody {

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

  private static boolean endsInsideDocument(byte[] body) {
    String text = new String(body, StandardCharsets.UTF_8);
    try (JsonReader reader = new JsonReader(new StringReader(text))) {
      // Some servers write NaN, or several documents, which does not break the body off.
      reader.setLenient(true);
      while (reader.peek() != JsonToken.END_DOCUMENT) {
        reader.skipValue();
      }
      return false;
    } catch (IOException incomplete) {
      return true;
    }
  }
}
