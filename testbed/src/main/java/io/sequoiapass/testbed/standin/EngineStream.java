package io.sequoiapass.testbed.standin;

import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.testbed.standin.EngineMessages.Completion;
import io.sequoiapass.testbed.standin.EngineMessages.Done;
import io.sequoiapass.testbed.standin.EngineMessages.Priority;
import io.sequoiapass.testbed.standin.EngineMessages.Token;
import io.sequoiapass.testbed.wire.Json;
import io.sequoiapass.testbed.wire.TokenText;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * The token stream of one request and its current reader; confined to one event loop.
 *
 * <p>A token's text is computed from its index, so a slow reader needs no buffer: the stream stores
 * only the index of the next token to write.
 */
final class EngineStream {

  private static final Map<String, String> EVENT_STREAM =
      Map.of("Content-Type", "text/event-stream");

  private final Completion request;
  private final EngineSlot slot;
  private final long acceptedAt;
  private int prefillSteps;
  private int produced;
  private long stalledMs;
  private int cutAfter = Integer.MAX_VALUE;
  private HttpResponder reader;
  private int written;
  private long detachedAt;

  EngineStream(Completion request, EngineSlot slot, int prefillSteps, long now) {
    this.request = request;
    this.slot = slot;
    this.prefillSteps = prefillSteps;
    this.acceptedAt = now;
    this.detachedAt = now;
    this.produced = request.resumeFrom();
  }

  Completion request() {
    return request;
  }

  EngineSlot slot() {
    return slot;
  }

  Priority priority() {
    return request.priority();
  }

  int produced() {
    return produced;
  }

  boolean finished() {
    return produced >= request.maxTokens();
  }

  void cutAfter(int tokens) {
    cutAfter = tokens;
  }

  void markAdmitted(long now) {
    stalledMs = now - acceptedAt;
  }

  /** Runs one prefill or decode step; returns whether it produced a token. */
  boolean step() {
    if (prefillSteps > 0) {
      prefillSteps--;
      return false;
    }
    produced++;
    write();
    return true;
  }

  /** Sends the stream from a token index to a new reader; closes any previous reader. */
  void attach(HttpResponder next, int from, Runnable onClosed) {
    HttpResponder previous = reader;
    reader = null;
    if (previous != null) {
      previous.abort();
    }
    reader = next;
    written = from;
    next.begin(200, EVENT_STREAM);
    next.onWritable(this::write);
    next.onClose(
        () -> {
          if (reader == next) {
            onClosed.run();
          }
        });
    write();
  }

  void detach(long now) {
    reader = null;
    detachedAt = now;
  }

  /** Starts the retention time of a finished stream. */
  void markFinished(long now) {
    detachedAt = now;
  }

  /** Closes the reader's connection before the end of the stream. */
  void abort(long now) {
    HttpResponder current = reader;
    detach(now);
    if (current != null) {
      current.abort();
    }
  }

  boolean abandonedSince(long time) {
    return reader == null && detachedAt <= time;
  }

  private void write() {
    HttpResponder to = reader;
    if (to == null) {
      return;
    }
    StringBuilder events = new StringBuilder();
    while (written < produced && written < cutAfter) {
      event(events, token(written));
      written++;
      if (events.length() > 0 && !to.writable()) {
        break;
      }
    }
    boolean ends = finished() && written == produced && written < cutAfter;
    if (ends) {
      event(events, done());
    }
    if (events.length() > 0) {
      to.write(events.toString().getBytes(StandardCharsets.UTF_8));
    }
    if (ends) {
      to.end();
      reader = null;
    } else if (written >= cutAfter) {
      reader = null;
      to.abort();
    }
  }

  private Token token(int index) {
    String text = TokenText.of(slot.adapter(), slot.version(), request.requestId(), index);
    return new Token(
        request.requestId(), request.attempt(), index, text, slot.adapter(), slot.version());
  }

  private Done done() {
    return new Done(
        request.requestId(),
        request.attempt(),
        true,
        request.maxTokens(),
        slot.adapter(),
        slot.version(),
        stalledMs);
  }

  private static void event(StringBuilder events, Object body) {
    events.append("data: ").append(Json.GSON.toJson(body)).append("\n\n");
  }
}
