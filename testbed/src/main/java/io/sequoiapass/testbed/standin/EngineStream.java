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
 * Holds one request's way through the engine and writes it to whoever reads it.
 *
 * <p>A token's text follows from its index, so a slow reader costs no memory: the stream remembers
 * only how far it has written.
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
  private long readerLeftAt;

  EngineStream(Completion request, EngineSlot slot, int prefillSteps, long now) {
    this.request = request;
    this.slot = slot;
    this.prefillSteps = prefillSteps;
    this.acceptedAt = now;
    this.readerLeftAt = now;
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

  void joinedBatch(long now) {
    stalledMs = now - acceptedAt;
  }

  /** Makes one token, or goes on reading the prompt; returns whether a token was made. */
  boolean step() {
    if (prefillSteps > 0) {
      prefillSteps--;
      return false;
    }
    produced++;
    write();
    return true;
  }

  /** Sends the stream from a token on to a new reader; a former reader is cut off. */
  void attach(HttpResponder next, int from, Runnable left) {
    HttpResponder former = reader;
    reader = null;
    if (former != null) {
      former.abort();
    }
    reader = next;
    written = from;
    next.begin(200, EVENT_STREAM);
    next.onWritable(this::write);
    next.onClose(
        () -> {
          if (reader == next) {
            left.run();
          }
        });
    write();
  }

  void readerLeft(long now) {
    reader = null;
    readerLeftAt = now;
  }

  /** Starts the time for which a finished stream that nobody reads is kept. */
  void finishedAt(long now) {
    readerLeftAt = now;
  }

  /** Closes the reader's connection short of the end. */
  void abort(long now) {
    HttpResponder current = reader;
    readerLeft(now);
    if (current != null) {
      current.abort();
    }
  }

  boolean abandonedSince(long time) {
    return reader == null && readerLeftAt <= time;
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
