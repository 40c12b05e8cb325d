package io.sequoiapass.daemon.process;

import com.google.gson.JsonObject;
import io.sequoiapass.daemon.connection.HttpHandler;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.daemon.process.timeline.InvalidQueryException;
import io.sequoiapass.daemon.process.timeline.TimelineQuery;
import java.util.Map;
import java.util.Objects;

/** Serves the operators' HTTP API; safe for use by several threads. */
final class OperatorHandler implements HttpHandler {

  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final OperatorView view;

  OperatorHandler(OperatorView view) {
    this.view = Objects.requireNonNull(view, "view");
  }

  @Override
  public void handle(HttpRequestMessage request, HttpResponder responder) {
    switch (request.method() + " " + request.path()) {
      case "GET /health" -> responder.respond(OK, Map.of(), "{\"healthy\":true}");
      case "GET /ready" -> ready(responder);
      case "GET /metrics" -> responder.respond(OK, Map.of(), view.metrics());
      case "GET /status" -> responder.respond(OK, Map.of(), view.status());
      case "GET /timeline" -> timeline(request, responder);
      case "POST /drain" -> {
        view.drain();
        responder.respond(ACCEPTED, Map.of(), "{\"draining\":true}");
      }
      default -> responder.respond(NOT_FOUND, Map.of(), "{\"error\":\"no such path\"}");
    }
  }

  private void ready(HttpResponder responder) {
    boolean ready = view.ready();
    responder.respond(ready ? OK : UNAVAILABLE, Map.of(), "{\"ready\":" + ready + "}");
  }

  private void timeline(HttpRequestMessage request, HttpResponder responder) {
    try {
      TimelineQuery query = TimelineQuery.parse(request::query);
      responder.respond(OK, Map.of(), view.timeline(query));
    } catch (InvalidQueryException e) {
      JsonObject error = new JsonObject();
      error.addProperty("error", e.getMessage());
      responder.respond(BAD_REQUEST, Map.of(), error.toString());
    }
  }
}
