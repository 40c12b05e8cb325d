package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.gateway.connection.PeerRequest;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.spi.CallerProtocol;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/** How this daemon states that a request ends without an endpoint's answer. */
public enum ErrorFormat {
  /** A response to the caller. */
  CALLER {
    @Override
    Map<String, String> headers(
        CallerProtocol callers, CallerFacts facts, ErrorKind kind, OptionalLong retryAfterMs) {
      return callers.ownHeaders(facts.requestId(), retryAfterMs);
    }
  },
  /** A response to the peer that accepted the request, which responds to the caller. */
  PEER {
    @Override
    Map<String, String> headers(
        CallerProtocol callers, CallerFacts facts, ErrorKind kind, OptionalLong retryAfterMs) {
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put(PeerRequest.ERROR_HEADER, kind.name());
      retryAfterMs.ifPresent(ms -> headers.put(PeerRequest.RETRY_AFTER_HEADER, Long.toString(ms)));
      return headers;
    }
  };

  abstract Map<String, String> headers(
      CallerProtocol callers, CallerFacts facts, ErrorKind kind, OptionalLong retryAfterMs);

  /**
   * Sends an error response.
   *
   * @param callers the wire protocol of the callers
   * @param facts what the request's headers state
   * @param responder the connection that the request arrived on
   * @param kind the reason
   * @param retryAfterMs when the caller may retry, in milliseconds; empty to omit the advice
   */
  public void send(
      CallerProtocol callers,
      CallerFacts facts,
      HttpResponder responder,
      ErrorKind kind,
      OptionalLong retryAfterMs) {
    responder.respond(
        kind.httpStatus(),
        headers(callers, facts, kind, retryAfterMs),
        "{\"error\":\"" + kind + "\",\"message\":\"" + kind.message() + "\"}");
  }
}
