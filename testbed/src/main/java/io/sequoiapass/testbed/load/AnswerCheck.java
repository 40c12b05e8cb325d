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
 * Reads one answer and checks that it is complete and belongs to its request.
 *
 * <p>The text of every token contains adapter, version, request id and index, so a token of another
 * adapter or another request is detected from its text alone. Confined to the connection's event
 * loop.
 */
final class AnswerCheck implements HttpStreamListener {

  private static final String END_OF_STREAM = "[DONE]";
  private static final char INTERNAL_ID_SEPARATOR = '~';

  private final PlannedRequest request;
  private final String expectedVersion;
  private final LongSupplier micros;
  private final long startedAtMicros;
  private final long timeoutAtMicros;
  private final Consumer<RequestResult> results;
  private final EventSplitter events = new EventSplitter(this::onEvent);
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private String outcomeHeader = "";
  private boolean streamed;
  private long firstTokenMicros = -1;
  private int tokens;
  private String tokenId;
  private CallerMessages.Event end;
  private String mismatch = "";
  private boolean reported;

  AnswerCheck(
      PlannedRequest request,
      String expectedVersion,
      LongSupplier micros,
      long waitMs,
      Consumer<RequestResult> results) {
    this.request = request;
    this.expectedVersion = expectedVersion;
    this.micros = micros;
    this.startedAtMicros = micros.getAsLong();
    this.timeoutAtMicros = startedAtMicros + TimeUnit.MILLISECONDS.toMicros(waitMs);
    this.results = results;
  }

  @Override
  public void started(int answeredStatus, HttpHeaders headers) {
    status = answeredStatus;
    outcomeHeader = headers.get("Outcome", "");
    streamed = headers.get("Content-Type", "").startsWith("text/event-stream");
    String adapter = headers.get("Adapter", "");
    if (request.adapter().isPresent() && status == 200 && !adapter.equals(expectedAdapter())) {
      recordMismatch("answered by adapter '" + adapter + "'");
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

  private void onEvent(String data) {
    if (data.equals(END_OF_STREAM)) {
      return;
    }
    try {
      CallerMessages.Event event = Json.GSON.fromJson(data, CallerMessages.Event.class);
      if (event.outcome() != null) {
        end = event;
      } else {
        checkToken(event);
      }
    } catch (JsonSyntaxException | NullPointerException e) {
      recordMismatch("unreadable event: " + data);
    }
  }

  private void checkToken(CallerMessages.Event event) {
    if (firstTokenMicros < 0) {
      firstTokenMicros = micros.getAsLong() - startedAtMicros;
    }
    if (end != null) {
      recordMismatch("token after the final event");
    }
    if (event.index() != tokens) {
      recordMismatch("token index " + event.index() + ", expected " + tokens);
    }
    if (tokenId == null) {
      tokenId = requestIdIn(event.text());
    }
    String expected = TokenText.of(expectedAdapter(), expectedVersion, tokenId, tokens);
    if (!event.text().equals(expected)) {
      recordMismatch("token '" + event.text() + "', expected '" + expected + "'");
    }
    tokens++;
  }

  /** Extracts the request id from a token's text: the caller's id and the daemon's suffix. */
  private String requestIdIn(String text) {
    int slash = text.indexOf('/');
    int hash = text.lastIndexOf('#');
    String id = slash >= 0 && hash > slash ? text.substring(slash + 1, hash) : "";
    return id.startsWith(request.id() + INTERNAL_ID_SEPARATOR) ? id : request.id();
  }

  private void recordMismatch(String why) {
    if (mismatch.isEmpty()) {
      mismatch = why;
    }
  }

  @Override
  public void ended() {
    if (!mismatch.isEmpty()) {
      report(Verdict.WRONG, mismatch);
    } else if (streamed) {
      finishStream();
    } else if (status == 200) {
      finishPlainAnswer();
    } else {
      report(verdict(outcomeHeader), status + " " + body.toString(StandardCharsets.UTF_8));
    }
  }

  private void finishStream() {
    if (end == null) {
      report(Verdict.UNKNOWN, "stream ended without its final event");
      return;
    }
    if (!end.outcome().equals("ANSWERED")) {
      String why = end.error() == null ? "" : end.error().kind() + " " + end.error().message();
      report(verdict(end.outcome()), why + " after " + tokens + " tokens");
      return;
    }
    if (tokens != request.maxTokens() || end.tokens() != tokens) {
      report(Verdict.WRONG, "complete with " + tokens + " tokens of " + request.maxTokens());
    } else if (!expectedAdapter().equals(end.adapter()) || !expectedVersion.equals(end.version())) {
      report(Verdict.WRONG, "ended by " + end.adapter() + "@" + end.version());
    } else {
      report(Verdict.COMPLETE, "");
    }
  }

  private void finishPlainAnswer() {
    firstTokenMicros = micros.getAsLong() - startedAtMicros;
    try {
      CallerMessages.Plain plain =
          Json.GSON.fromJson(body.toString(StandardCharsets.UTF_8), CallerMessages.Plain.class);
      boolean own =
          plain.requestId().startsWith(request.id() + INTERNAL_ID_SEPARATOR)
              && plain.idempotencyKey().equals(request.keyed() ? request.id() : "");
      report(own ? Verdict.COMPLETE : Verdict.WRONG, own ? "" : "answer to " + plain.requestId());
    } catch (JsonSyntaxException | NullPointerException e) {
      report(Verdict.WRONG, "unreadable answer: " + body.toString(StandardCharsets.UTF_8));
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
    if (!mismatch.isEmpty()) {
      report(Verdict.WRONG, mismatch);
    } else if (micros.getAsLong() >= timeoutAtMicros) {
      report(Verdict.UNANSWERED, "no complete answer before the timeout");
    } else {
      report(failure.mayHaveReached() ? Verdict.UNKNOWN : Verdict.NOT_RUN, failure.getMessage());
    }
  }

  private void report(Verdict verdict, String detail) {
    if (!reported) {
      reported = true;
      long durationMicros = micros.getAsLong() - startedAtMicros;
      results.accept(new RequestResult(request, verdict, firstTokenMicros, durationMicros, detail));
    }
  }
}
