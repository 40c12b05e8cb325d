package io.sequoiapass.testbed.standin;

import com.google.gson.JsonElement;
import com.google.gson.JsonSyntaxException;
import io.sequoiapass.daemon.connection.HttpHandler;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.testbed.wire.Json;
import java.util.Map;

/** HTTP handler base class with the fault and audit endpoints that all stand-ins share. */
abstract class AuditedHandler implements HttpHandler {

  @Override
  public final void handle(HttpRequestMessage request, HttpResponder responder) {
    try {
      switch (request.path()) {
        case "/faults" -> {
          setFaults(request.text());
          ok(responder, Map.of());
        }
        case "/judge" -> ok(responder, audit(request));
        default -> serve(request, responder);
      }
    } catch (JsonSyntaxException | IllegalArgumentException e) {
      error(responder, 400, String.valueOf(e.getMessage()));
    }
  }

  /** Replaces the active faults; those not named are cleared. */
  abstract void setFaults(String json);

  /** Returns the audit report, an object that Gson can write. */
  abstract Object audit(HttpRequestMessage request);

  abstract void serve(HttpRequestMessage request, HttpResponder responder);

  static void ok(HttpResponder responder, Object body) {
    respond(responder, 200, body);
  }

  static void respond(HttpResponder responder, int status, Object body) {
    String json = body instanceof JsonElement e ? e.toString() : Json.GSON.toJson(body);
    responder.respond(status, Map.of(), json);
  }

  static void error(HttpResponder responder, int status, String error) {
    respond(responder, status, Map.of("error", error));
  }

  /** Parses a message; a blank body is read as {@code {}}. */
  static <T> T read(String json, Class<T> type) {
    return Json.GSON.fromJson(json.isBlank() ? "{}" : json, type);
  }
}
