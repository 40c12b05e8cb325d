package io.sequoiapass.testbed.standin;

import com.google.gson.JsonElement;
import com.google.gson.JsonSyntaxException;
import io.sequoiapass.daemon.connection.HttpHandler;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.testbed.wire.Json;
import java.util.Map;

/** Answers the two calls that all stand-ins share and leaves the others to the stand-in. */
abstract class JudgedHandler implements HttpHandler {

  @Override
  public final void handle(HttpRequestMessage request, HttpResponder responder) {
    try {
      switch (request.path()) {
        case "/faults" -> {
          switchFaults(request.text());
          ok(responder, Map.of());
        }
        case "/judge" -> ok(responder, judge(request));
        default -> serve(request, responder);
      }
    } catch (JsonSyntaxException | IllegalArgumentException e) {
      error(responder, 400, String.valueOf(e.getMessage()));
    }
  }

  /** Sets the faults that hold from now on; those not named are cleared. */
  abstract void switchFaults(String json);

  /** Returns what ran, as an object for JSON. */
  abstract Object judge(HttpRequestMessage request);

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

  /** Reads a message; an empty body reads as {@code {}}. */
  static <T> T read(String json, Class<T> type) {
    return Json.GSON.fromJson(json.isBlank() ? "{}" : json, type);
  }
}
