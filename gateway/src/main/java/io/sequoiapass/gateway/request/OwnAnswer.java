package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.spi.CallerProtocol;
import java.util.OptionalLong;

/** Sends the answers that are the daemon's own and no endpoint's; the methods are pure. */
public final class OwnAnswer {

  private OwnAnswer() {}

  /**
   * Tells a caller why its request has no answer.
   *
   * @param callers the names that callers speak
   * @param facts what the caller said
   * @param responder the caller's connection
   * @param kind the reason
   * @param comeBackMs when the caller is to come back, in milliseconds; empty to say nothing
   */
  public static void send(
      CallerProtocol callers,
      CallerFacts facts,
      HttpResponder responder,
      ErrorKind kind,
      OptionalLong comeBackMs) {
    responder.respond(
        kind.httpStatus(),
        callers.ownHeaders(facts.requestId(), comeBackMs),
        "{\"error\":\"" + kind + "\",\"message\":\"" + kind.message() + "\"}");
  }
}
