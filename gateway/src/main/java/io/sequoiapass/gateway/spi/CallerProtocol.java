package io.sequoiapass.gateway.spi;

import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import java.util.Map;
import java.util.OptionalLong;

/** The wire protocol of the callers; implementations are safe for use by several threads. */
public interface CallerProtocol {

  /**
   * Decodes the headers of a caller's request. A malformed header counts as absent: it only guides
   * routing, and the endpoint validates it itself.
   *
   * @param request the request
   */
  CallerFacts read(HttpRequestMessage request);

  /**
   * Returns the headers of a caller's request that are kept on its whole way, so without those that
   * concern one connection or that only this system may set.
   *
   * @param headers what the caller sent
   */
  Map<String, String> forwardedHeaders(HttpHeaders headers);

  /**
   * Returns the headers of a response that this daemon generates.
   *
   * @param requestId the caller's id of the request; empty string if unknown
   * @param retryAfterMs when the caller may retry, in milliseconds; empty to omit the advice
   */
  Map<String, String> ownHeaders(String requestId, OptionalLong retryAfterMs);
}
