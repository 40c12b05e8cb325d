package io.sequoiapass.daemon.connection;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;

/** How the end of a response body is marked. */
public enum BodyFraming {
  /** By the number of bytes that the head states. */
  LENGTH,
  /** By the last chunk. */
  CHUNKED,
  /** By the end of the connection, as in a response with neither a length nor chunks. */
  CONNECTION;

  /**
   * Returns the framing of a response with a body.
   *
   * @param headers the headers of the response
   */
  public static BodyFraming of(HttpHeaders headers) {
    if (headers.containsValue(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true)) {
      return CHUNKED;
    }
    return headers.contains(HttpHeaderNames.CONTENT_LENGTH) ? LENGTH : CONNECTION;
  }
}
