package io.sequoiapass.daemon.request;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.request.Outcome;
import io.sequoiapass.coordination.request.OutcomeClass;
import io.sequoiapass.coordination.request.Repeatability;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Writes one answer to its caller, as server-sent events or as one response.
 *
 * <p>Guarded by the lock of its request's shard.
 */
public final class CallerAnswer {

  private static final int OK = 200;
  private static final Gson GSON = new Gson();

  private final HttpResponder responder;
  private final String id;
  private final Optional<AdapterVersion> adapter;
  private final Repeatability repeatability;
  private final boolean streamed;
  private final StringBuilder text = new StringBuilder();
  private final StringBuilder events = new StringBuilder();
  private boolean begun;

  /**
   * Creates an answer of which nothing is written yet.
   *
   * @param responder the caller's connection
   * @param request the request
   * @param adapter the adapter version that it runs on; empty for a plain service
   */
  public CallerAnswer(
      HttpResponder responder, CallerRequest request, Optional<AdapterVersion> adapter) {
    this.responder = responder;
    this.id = request.callerId().isEmpty() ? request.id().value() : request.callerId();
    this.adapter = adapter;
    this.repeatability = request.repeatability();
    this.streamed = request.streamed();
  }

  /** Returns the caller's connection. */
  public HttpResponder responder() {
    return responder;
  }

  /**
   * Adds a token; a streamed one is sent with the next {@link #flush}.
   *
   * @param index the index of the token
   * @param token its text
   */
  public void token(int index, String token) {
    if (!streamed) {
      text.append(token);
      return;
    }
    begin();
    JsonObject event = new JsonObject();
    event.addProperty("id", id);
    event.addProperty("index", index);
    event.addProperty("text", token);
    event(GSON.toJson(event));
  }

  private void begin() {
    if (!begun) {
      begun = true;
      Map<String, String> headers = headers(OutcomeClass.ANSWERED);
      // A stream can still fail after its head was sent; the last event carries the outcome.
      headers.remove("Outcome");
      headers.put("Content-Type", "text/event-stream");
      responder.begin(OK, headers);
    }
  }

  private void event(String data) {
    events.append("data: ").append(data).append("\n\n");
  }

  /**
   * Sends the pending events in one write, so that tokens that arrive together cost one write.
   *
   * @return whether there were any
   */
  public boolean flush() {
    if (events.isEmpty()) {
      return false;
    }
    responder.write(events.toString().getBytes(StandardCharsets.UTF_8));
    events.setLength(0);
    return true;
  }

  /**
   * Ends the answer of a completion that is complete.
   *
   * @param tokens its length in tokens
   */
  public void complete(int tokens) {
    JsonObject body = outcomeBody(OutcomeClass.ANSWERED);
    adapter.ifPresent(
        ranOn -> {
          body.addProperty("adapter", ranOn.adapter().value());
          body.addProperty("version", ranOn.version().value());
        });
    body.addProperty("tokens", tokens);
    if (streamed) {
      begin();
      event(GSON.toJson(body));
      event("[DONE]");
      flush();
      responder.end();
    } else {
      body.addProperty("text", text.toString());
      responder.respond(OK, headers(OutcomeClass.ANSWERED), GSON.toJson(body));
    }
  }

  /**
   * Sends the complete answer of a plain service.
   *
   * @param answer the answer
   */
  public void service(PeerMessage.ServiceAnswer answer) {
    Map<String, String> headers = headers(OutcomeClass.ANSWERED);
    headers.put("Content-Type", answer.contentType());
    responder.respond(answer.status(), headers, answer.body());
  }

  /**
   * Ends the answer with an error.
   *
   * @param outcome NOT RUN or UNKNOWN
   * @param detail further detail for the error message; may be empty
   */
  public void failed(Outcome outcome, String detail) {
    JsonObject body = outcomeBody(outcome.outcomeClass());
    body.add("error", ErrorAnswer.json(outcome, detail, repeatability));
    if (begun) {
      event(GSON.toJson(body));
      flush();
      responder.end();
      return;
    }
    Map<String, String> headers = headers(outcome.outcomeClass());
    ErrorAnswer.putRetryAfter(headers, outcome);
    responder.respond(ErrorAnswer.kindOf(outcome).httpStatus(), headers, GSON.toJson(body));
  }

  private JsonObject outcomeBody(OutcomeClass outcome) {
    JsonObject body = new JsonObject();
    body.addProperty("id", id);
    body.addProperty("outcome", outcome.name());
    return body;
  }

  private Map<String, String> headers(OutcomeClass outcome) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Request-Id", id);
    headers.put("Outcome", outcome.name());
    adapter.ifPresent(
        ranOn -> {
          headers.put("Adapter", ranOn.adapter().value());
          headers.put("Adapter-Version", ranOn.version().value());
        });
    return headers;
  }
}
