package io.sequoiapass.daemon.connection;

import java.util.Map;

/** Answers the requests of a server; called on event loops, so it must not block. */
@FunctionalInterface
public interface HttpHandler {

  /**
   * Answers one request, now or later.
   *
   * @param request the request
   * @param responder what sends the answer
   */
  void handle(HttpRequestMessage request, HttpResponder responder);

  /**
   * Answers what could not be read as a request; the connection is closed afterwards.
   *
   * @param fault what is wrong
   * @param responder what sends the answer
   */
  default void refuse(HttpFault fault, HttpResponder responder) {
    responder.respond(fault.status(), Map.of(), "{\"error\":\"" + fault + "\"}");
  }
}
