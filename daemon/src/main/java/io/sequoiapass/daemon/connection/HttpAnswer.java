package io.sequoiapass.daemon.connection;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * Holds one whole HTTP answer.
 *
 * @param status the status code
 * @param headers the headers
 * @param body the body
 */
// Answers are never compared, so the array's identity in equals does no harm.
@SuppressWarnings("ArrayRecordComponent")
public record HttpAnswer(int status, HttpHeaders headers, byte[] body) {

  /** Returns the body as UTF-8 text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }

  /** Returns whether the status is one of success. */
  public boolean ok() {
    return status / 100 == 2;
  }
}
