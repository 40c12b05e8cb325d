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
        CallerProtocol callers,
        CallerFacts facts,
        ErrorKind kind,
        OptionalLong retryAfterMs,
        boolean hasSent) {
      return callers.ownHeaders(facts.requestId(), retryAfterMs);
    }
  },
  /** A response to the peer that accepted the request, which responds to the caller. */
  PEER {
    @Override
    Map<String, String> headers(
        CallerProtocol callers,
        CallerFacts facts,
        ErrorKind kind,
        OptionalLong retryAfterMs,
        boolean hasSent) {
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put(PeerRequest.ERROR_HEADER, kind.name());
      retryAfterMs.ifPresent(ms -> headers.put(PeerRequest.RETRY_AFTER_HEADER, Long.toString(ms)));
      if (hasSent) {
        headers.put(PeerRequest.SENT_HEADER, "1");
      }
      return headers;
    }
  };

  abstract Map<String, String> headers(
      CallerProtocol callers,
      CallerFacts facts,
      ErrorKind kind,
      OptionalLong retryAfterMs,
      boolean hasSent);

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
    send(callers, facts, responder, kind, retryAfterMs, false);
  }

  /**
   * Sends an error response to a request that may have been sent to an endpoint.
   *
   * @param callers the wire protocol of the callers
   * @param facts what the request's headers state
   * @param responder the connection that the request arrived on
   * @param kind the reason
   * @param retryAfterMs when the caller may retry, in milliseconds; empty to omit the advice
   * @param hasSent whether it has reached an endpoint
   */
  void send(
      CallerProtocol callers,
      CallerFacts facts,
      HttpResponder responder,
      ErrorKind kind,
      OptionalLong retryAfterMs,
      boolean hasSent) {
    responder.respond(
        kind.httpStatus(),
        headers(callers, facts, kind, retryAfterMs, hasSent),
        "{\"error\":\"" + kind + "\",\"message\":\"" + kind.message() + "\"}");
  }
}
