package io.sequoiapass.daemon.connection;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * A complete HTTP response.
 *
 * @param status the status code
 * @param headers the headers
 * @param body the body
 */
// Responses are never compared, so array identity in equals is harmless.
@SuppressWarnings("ArrayRecordComponent")
public record HttpAnswer(int status, HttpHeaders headers, byte[] body) {

  /** Returns the body as UTF-8 text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Returns whether the status is 2xx. */
  public boolean ok() {
    return status / 100 == 2;
  }
}
