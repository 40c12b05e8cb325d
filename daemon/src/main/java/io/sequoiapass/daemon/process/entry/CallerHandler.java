package io.sequoiapass.daemon.process.entry;

import com.google.gson.Gson;
import com.google.gson.JsonObject;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.NotRunProof;
import io.sequoiapass.coordination.request.Outcome;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.daemon.connection.HttpFault;
import io.sequoiapass.daemon.connection.HttpHandler;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.daemon.request.CallerRequest;
import io.sequoiapass.daemon.request.CallerRequestParser;
import io.sequoiapass.daemon.request.Refusal;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

/** Answers callers over HTTP; safe for use by several threads. */
public final class CallerHandler implements HttpHandler {

  private static final Gson GSON = new Gson();

  private final CallerRequestParser parser;
  private final Supplier<ConfigurationSnapshot> snapshots;
  private final Supplier<Optional<ErrorKind>> closed;
  private final Entries entries;

  /**
   * Makes a handler.
   *
   * @param parser reads requests
   * @param snapshots gives the configuration as it stands
   * @param closed tells why no request is taken now, if none is
   * @param entries drives requests
   */
  public CallerHandler(
      CallerRequestParser parser,
      Supplier<ConfigurationSnapshot> snapshots,
      Supplier<Optional<ErrorKind>> closed,
      Entries entries) {
    this.parser = Objects.requireNonNull(parser, "parser");
    this.snapshots = Objects.requireNonNull(snapshots, "snapshots");
    this.closed = Objects.requireNonNull(closed, "closed");
    this.entries = Objects.requireNonNull(entries, "entries");
  }

  @Override
  public void handle(HttpRequestMessage message, HttpResponder responder) {
    String path = message.path();
    if (!path.equals(CallerRequestParser.COMPLETIONS)
        && !path.startsWith(CallerRequestParser.SERVICES)) {
      refuse(responder, ErrorKind.MALFORMED_REQUEST, "no such path: " + path);
      return;
    }
    if (path.equals(CallerRequestParser.COMPLETIONS) && !message.method().equals("POST")) {
      refuse(responder, ErrorKind.MALFORMED_REQUEST, "use POST, not " + message.method());
      return;
    }
    Optional<ErrorKind> reason = closed.get();
    if (reason.isPresent()) {
      refuse(responder, reason.get(), "");
      return;
    }
    accept(message, responder);
  }

  private void accept(HttpRequestMessage message, HttpResponder responder) {
    ConfigurationSnapshot snapshot = snapshots.get();
    CallerRequest request;
    try {
      request = parser.parse(message, snapshot);
    } catch (Refusal refusal) {
      refuse(responder, refusal.kind(), refusal.getMessage());
      return;
    }
    entries.accept(request, snapshot, responder);
  }

  @Override
  public void refuse(HttpFault fault, HttpResponder responder) {
    ErrorKind kind =
        switch (fault) {
          case MALFORMED -> ErrorKind.MALFORMED_REQUEST;
          case LINE_TOO_LONG, HEADERS_TOO_LARGE -> ErrorKind.HEADERS_TOO_LARGE;
          case BODY_TOO_LARGE -> ErrorKind.BODY_TOO_LARGE;
        };
    refuse(responder, kind, "");
  }

  private static void refuse(HttpResponder responder, ErrorKind kind, String detail) {
    Outcome outcome = Outcome.notRun(kind, NotRunProof.neverLeftEntry());
    JsonObject error = new JsonObject();
    error.addProperty("kind", kind.name());
    error.addProperty("message", detail.isEmpty() ? kind.message() : kind.message() + " " + detail);
    error.addProperty("retry", kind.retryAdvice().name());
    JsonObject body = new JsonObject();
    body.addProperty("outcome", outcome.outcomeClass().name());
    body.add("error", error);
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Outcome", outcome.outcomeClass().name());
    outcome
        .comeBackMillis()
        .ifPresent(ms -> headers.put("Retry-After", Long.toString((ms + 999) / 1_000)));
    responder.respond(kind.httpStatus(), headers, GSON.toJson(body));
  }
}
