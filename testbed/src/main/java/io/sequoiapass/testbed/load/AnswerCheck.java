package io.sequoiapass.testbed.load;

import com.google.gson.JsonSyntaxException;
import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.connection.HttpStreamListener;
import io.sequoiapass.daemon.connection.engine.EventSplitter;
import io.sequoiapass.testbed.wire.Json;
import io.sequoiapass.testbed.wire.TokenText;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Reads one answer and tells whether it is whole and the caller's own.
 *
 * <p>Every token's text names adapter, version, request and index, so a token of another adapter or
 * another request shows by itself. Used on the connection's event loop.
 */
final class AnswerCheck implements HttpStreamListener {

  private static final String END_OF_STREAM = "[DONE]";
  private static final char INTERNAL_PART = '~';

  private final PlannedRequest request;
  private final String expectedVersion;
  private final LongSupplier micros;
  private final long startedAt;
  private final long waitsUntil;
  private final Consumer<RequestResult> results;
  private final EventSplitter events = new EventSplitter(this::event);
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private String outcomeHeader = "";
  private boolean streamed;
  private long firstTokenMicros = -1;
  private int tokens;
  private String tokenId;
  private CallerMessages.Event end;
  private String wrong = "";
  private boolean told;

  AnswerCheck(
      PlannedRequest request,
      String expectedVersion,
      LongSupplier micros,
      long waitMs,
      Consumer<RequestResult> results) {
    this.request = request;
    this.expectedVersion = expectedVersion;
    this.micros = micros;
    this.startedAt = micros.getAsLong();
    this.waitsUntil = startedAt + TimeUnit.MILLISECONDS.toMicros(waitMs);
    this.results = results;
  }

  @Override
  public void started(int answeredStatus, HttpHeaders headers) {
    status = answeredStatus;
    outcomeHeader = headers.get("Outcome", "");
    streamed = headers.get("Content-Type", "").startsWith("text/event-stream");
    String adapter = headers.get("Adapter", "");
    if (request.adapter().isPresent() && status == 200 && !adapter.equals(expectedAdapter())) {
      wrong("answered by adapter '" + adapter + "'");
    }
  }

  private String expectedAdapter() {
    return request.adapter().orElse("");
  }

  @Override
  public void received(byte[] part) {
    if (streamed) {
      events.accept(part);
    } else {
      body.writeBytes(part);
    }
  }

  private void event(String data) {
    if (data.equals(END_OF_STREAM)) {
      return;
    }
    try {
      CallerMessages.Event event = Json.GSON.fromJson(data, CallerMessages.Event.class);
      if (event.outcome() != null) {
        end = event;
      } else {
        token(event);
      }
    } catch (JsonSyntaxException | NullPointerException e) {
      wrong("unreadable event: " + data);
    }
  }

  private void token(CallerMessages.Event event) {
    if (firstTokenMicros < 0) {
      firstTokenMicros = micros.getAsLong() - startedAt;
    }
    if (end != null) {
      wrong("a token after the end");
    }
    if (event.index() != tokens) {
      wrong("token " + event.index() + " in place of " + tokens);
    }
    if (tokenId == null) {
      tokenId = idIn(event.text());
    }
    String expected = TokenText.of(expectedAdapter(), expectedVersion, tokenId, tokens);
    if (!event.text().equals(expected)) {
      wrong("token '" + event.text() + "' in place of '" + expected + "'");
    }
    tokens++;
  }

  /** Returns the id in a token's text: the caller's own, with what the daemon adds to it. */
  private String idIn(String text) {
    int slash = text.indexOf('/');
    int hash = text.lastIndexOf('#');
    String id = slash >= 0 && hash > slash ? text.substring(slash + 1, hash) : "";
    return id.startsWith(request.id() + INTERNAL_PART) ? id : request.id();
  }

  private void wrong(String why) {
    if (wrong.isEmpty()) {
      wrong = why;
    }
  }

  @Override
  public void ended() {
    if (!wrong.isEmpty()) {
      tell(Verdict.WRONG, wrong);
    } else if (streamed) {
      endedStream();
    } else if (status == 200) {
      endedWhole();
    } else {
      tell(verdict(outcomeHeader), status + " " + body.toString(StandardCharsets.UTF_8));
    }
  }

  private void endedStream() {
    if (end == null) {
      tell(Verdict.UNKNOWN, "the stream ended without its last event");
      return;
    }
    if (!end.outcome().equals("ANSWERED")) {
      String why = end.error() == null ? "" : end.error().kind() + " " + end.error().message();
      tell(verdict(end.outcome()), why + " after " + tokens + " tokens");
      return;
    }
    if (tokens != request.maxTokens() || end.tokens() != tokens) {
      tell(Verdict.WRONG, "whole with " + tokens + " tokens of " + request.maxTokens());
    } else if (!expectedAdapter().equals(end.adapter()) || !expectedVersion.equals(end.version())) {
      tell(Verdict.WRONG, "ended by " + end.adapter() + "@" + end.version());
    } else {
      tell(Verdict.WHOLE, "");
    }
  }

  private void endedWhole() {
    firstTokenMicros = micros.getAsLong() - startedAt;
    try {
      CallerMessages.Plain plain =
          Json.GSON.fromJson(body.toString(StandardCharsets.UTF_8), CallerMessages.Plain.class);
      boolean own =
          plain.requestId().startsWith(request.id() + INTERNAL_PART)
              && plain.idempotencyKey().equals(request.keyed() ? request.id() : "");
      tell(own ? Verdict.WHOLE : Verdict.WRONG, own ? "" : "answer to " + plain.requestId());
    } catch (JsonSyntaxException | NullPointerException e) {
      tell(Verdict.WRONG, "unreadable answer: " + body.toString(StandardCharsets.UTF_8));
    }
  }

  private static Verdict verdict(String outcome) {
    return switch (outcome) {
      case "NOT_RUN" -> Verdict.NOT_RUN;
      case "UNKNOWN" -> Verdict.UNKNOWN;
      default -> Verdict.WRONG;
    };
  }

  @Override
  public void failed(HttpFailure failure) {
    if (!wrong.isEmpty()) {
      tell(Verdict.WRONG, wrong);
    } else if (micros.getAsLong() >= waitsUntil) {
      tell(Verdict.UNANSWERED, "no whole answer in time");
    } else {
      tell(failure.mayHaveReached() ? Verdict.UNKNOWN : Verdict.NOT_RUN, failure.getMessage());
    }
  }

  private void tell(Verdict verdict, String detail) {
    if (!told) {
      told = true;
      long took = micros.getAsLong() - startedAt;
      results.accept(new RequestResult(request, verdict, firstTokenMicros, took, detail));
    }
  }
}
