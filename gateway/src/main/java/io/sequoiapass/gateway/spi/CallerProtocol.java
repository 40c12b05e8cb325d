package io.sequoiapass.gateway.spi;

import io.sequoiapass.daemon.connection.HttpRequestMessage;
import java.util.Map;
import java.util.OptionalLong;

/** The names that callers speak; implementations are safe for use by several threads. */
public interface CallerProtocol {

  /**
   * Reads what a caller says about its request. A header that cannot be read counts as absent: it
   * only guides where the request goes, and the endpoint judges it by itself.
   *
   * @param request the request
   */
  CallerFacts read(HttpRequestMessage request);

  /**
   * Returns the headers of an answer of our own.
   *
   * @param requestId the caller's name of the request; empty text if unknown
   * @param retryAfterMs when the caller is to come back, in milliseconds; empty for no advice
   */
  Map<String, String> ownHeaders(String requestId, OptionalLong retryAfterMs);
}
