package io.sequoiapass.daemon.connection;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Map;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/** Decodes the responses on one client connection; used on its event loop. */
final class ResponseDecoder extends HttpResponseDecoder {

  private static final String VERSION = "HTTP/1.";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}( |$)");

  private Predicate<HttpHeaders> hasNoBody = headers -> false;

  /** Sets what tells from its headers whether a response has no body, as one to HEAD. */
  void bodiless(Predicate<HttpHeaders> test) {
    hasNoBody = test;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return super.isContentAlwaysEmpty(message) || hasNoBody.test(message.headers());
  }

  /** Returns whether bytes have arrived that are behind the last decoded message. */
  boolean hasMore() {
    return actualReadableBytes() > 0;
  }

  /** Returns whether the status of a head is one that a server may send, from 100 to 599. */
  static boolean hasStatus(HttpResponse head) {
    return head.status().codeClass() != HttpStatusClass.UNKNOWN;
  }

  /**
   * Returns whether a head begins with the start of another one that was cut off inside a line. It
   * has the status of that one, and the id and the body of its own.
   *
   * @param head the head
   * @param isChosenByCaller whether the text of a header is the caller's, and so shows nothing
   */
  static boolean isJoined(
      HttpResponse head, Predicate<Map.Entry<String, String>> isChosenByCaller) {
    if (hasStatusLine(head.status().reasonPhrase())) {
      return true;
    }
    HttpHeaders headers = head.headers();
    for (Map.Entry<String, String> header : headers) {
      if (hasStatusLine(header.getValue()) && !isChosenByCaller.test(header)) {
        return true;
      }
    }
    return false;
  }

  private static boolean hasStatusLine(String text) {
    return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
  }
}
