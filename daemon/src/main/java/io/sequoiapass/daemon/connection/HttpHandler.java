package io.sequoiapass.daemon.connection;

import java.util.Map;

/** Handles the requests of a server; called on event loops, so it must not block. */
@FunctionalInterface
public interface HttpHandler {

  /**
   * Handles one request; the response may be sent after this method returns.
   *
   * @param request the request
   * @param responder sends the response
   */
  void handle(HttpRequestMessage request, HttpResponder responder);

  /**
   * Responds to an invalid request; the connection is closed afterwards.
   *
   * @param fault the reason for the rejection
   * @param responder sends the response
   */
  default void refuse(HttpFault fault, HttpResponder responder) {
    responder.respond(fault.status(), Map.of(), "{\"error\":\"" + fault + "\"}");
  }

  /**
   * Responds to a request whose body was not read for want of memory; the connection is closed
   * afterwards.
   *
   * @param head the request without its body
   * @param responder sends the response
   */
  default void refuseUnread(HttpRequestMessage head, HttpResponder responder) {
    refuse(HttpFault.NO_MEMORY, responder);
  }
}
