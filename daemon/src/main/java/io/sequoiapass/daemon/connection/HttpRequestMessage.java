package io.sequoiapass.daemon.connection;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * A complete HTTP request as received by a server.
 *
 * @param method the HTTP method
 * @param target the path and query as sent
 * @param headers the headers
 * @param body the body
 * @param waitedMs the time from its first byte until it is handled, in milliseconds; of a request
 *     behind others, at least the time for which it has been complete
 */
// Requests are never compared, so array identity in equals is harmless.
@SuppressWarnings("ArrayRecordComponent")
public record HttpRequestMessage(
    String method, String target, HttpHeaders headers, byte[] body, long waitedMs) {

  /**
   * Creates a request that has not waited.
   *
   * @param method the HTTP method
   * @param target the path and query as sent
   * @param headers the headers
   * @param body the body
   */
  public HttpRequestMessage(String method, String target, HttpHeaders headers, byte[] body) {
    this(method, target, headers, body, 0);
  }

  /** Returns the same request after a wait, in milliseconds. */
  HttpRequestMessage after(long waited) {
    return new HttpRequestMessage(method, target, headers, body, waited);
  }

  /** Returns the path without the query. */
  public String path() {
    return new QueryStringDecoder(target).path();
  }

  /**
   * Returns the first value of a query parameter.
   *
   * @param name the parameter's name
   */
  public Optional<String> query(String name) {
    List<String> values = new QueryStringDecoder(target).parameters().get(name);
    return values == null ? Optional.empty() : Optional.of(values.get(0));
  }

  /**
   * Returns the first value of a header.
   *
   * @param name the header's name
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns the body as UTF-8 text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
