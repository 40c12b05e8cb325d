package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.spi.CallerProtocol;
import java.util.OptionalLong;

/** Sends responses that this daemon generates itself. The methods are pure. */
public final class LocalResponse {

  private LocalResponse() {}

  /**
   * Sends an error response to a caller.
   *
   * @param callers the wire protocol of the callers
   * @param facts what the request's headers state
   * @param responder the caller's connection
   * @param kind the reason
   * @param retryAfterMs when the caller may retry, in milliseconds; empty to omit the advice
   */
  public static void send(
      CallerProtocol callers,
      CallerFacts facts,
      HttpResponder responder,
      ErrorKind kind,
      OptionalLong retryAfterMs) {
    responder.respond(
        kind.httpStatus(),
        callers.ownHeaders(facts.requestId(), retryAfterMs),
        "{\"error\":\"" + kind + "\",\"message\":\"" + kind.message() + "\"}");
  }
}
