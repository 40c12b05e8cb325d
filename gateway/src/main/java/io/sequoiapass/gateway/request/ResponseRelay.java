package io.sequoiapass.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.daemon.connection.BodyFraming;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.gateway.connection.PeerRequest;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The response to one request: relays the answers of endpoints, or states an error.
 *
 * <p>Not safe for use by several threads: used under the request's lock.
 */
final class ResponseRelay {

  /** Largest event of a stream, in bytes; a larger one is no event. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private final RelayContext context;
  private final CallerExchange exchange;
  private final HttpResponder responder;
  private final EventRelay events;
  private final ResponseTimes times;
  private boolean started;

  ResponseRelay(RelayContext context, CallerExchange exchange) {
    this.context = context;
    this.exchange = exchange;
    this.responder = exchange.responder();
    this.events = new EventRelay(exchange.origin().lastEventId().orElse(EventRelay.NONE));
    this.times = new ResponseTimes(exchange.origin().arrivedAt());
  }

  /**
   * Sets the actions for the caller's connection.
   *
   * @param onLeft runs if it closes before the response has ended
   * @param onWritable runs each time it becomes writable again
   */
  void listen(Runnable onLeft, Runnable onWritable) {
    responder.onClose(onLeft);
    responder.onWritable(onWritable);
  }

  /** Returns whether the caller has received the head of a stream. */
  boolean isStarted() {
    return started;
  }

  /**
   * Sends the head of a stream, unless this is a resumption; the last event is not repeated. A peer
   * gets the software version with it.
   */
  void begin(int status, HttpHeaders headers, SoftwareVersion software) {
    events.begin();
    if (!started) {
      started = true;
      context.metrics().time("sequoiapass_first_event_ms", sinceArrival());
      Map<String, String> sent = new LinkedHashMap<>(context.endpoints().answerHeaders(headers));
      if (!exchange.origin().mayUsePeers()) {
        sent.put(PeerRequest.SOFTWARE_HEADER, software.value());
      }
      responder.begin(status, sent);
    }
  }

  /** Returns false if an event is longer than any endpoint sends. */
  boolean hasRoomFor(byte[] part) {
    return events.position().partialBytes() + part.length <= MAX_EVENT_BYTES;
  }

  /**
   * Sends the events that are complete; returns whether there are any.
   *
   * @param part received bytes
   * @param beforeEvents runs before events are sent
   */
  boolean write(byte[] part, Runnable beforeEvents) {
    byte[] complete = events.take(part);
    if (complete.length > 0) {
      beforeEvents.run();
      times.event(context.clock().millis());
      responder.write(complete);
    }
    return complete.length > 0;
  }

  boolean isWritable() {
    return responder.writable();
  }

  /**
   * Returns whether the stream of an endpoint, which has ended, may be complete.
   *
   * @param framing how the end of the answer was marked
   */
  boolean isComplete(BodyFraming framing) {
    return events.isComplete(framing);
  }

  /** Ends a stream that is complete. */
  void end() {
    if (events.remainder().length > 0) {
      responder.write(events.remainder());
    }
    responder.end();
  }

  /** Sends a complete answer of an endpoint. */
  void respond(int status, RelayAttempt.Body body) {
    responder.respond(status, context.endpoints().answerHeaders(body.headers()), body.bytes());
  }

  /** States why there is no answer. */
  void error(ErrorKind kind, OptionalLong retryAfterMs, boolean hasSent) {
    exchange
        .origin()
        .errors()
        .send(context.callers(), exchange.facts(), responder, kind, retryAfterMs, hasSent);
  }

  /** Aborts a stream, so that the caller does not take it for complete. */
  void abort() {
    responder.abort();
  }

  /** Returns the last event that the caller has received, or {@link EventRelay#NONE}. */
  long lastEvent() {
    return events.lastId();
  }

  /** Returns how far the stream was read, for the log. */
  EventRelay.Position position() {
    return events.position();
  }

  /** Returns the same as {@link #lastEvent}; empty if there is none. */
  OptionalLong lastEventId() {
    return events.lastId() == EventRelay.NONE
        ? OptionalLong.empty()
        : OptionalLong.of(events.lastId());
  }

  /**
   * Returns what the log states about the response.
   *
   * @param waits how long the request waited before it was sent
   * @param last the last attempt; null if there was none
   */
  RequestLog.Summary summary(WaitTimes waits, RelayAttempt last) {
    return new RequestLog.Summary(
        times.log(context.clock().millis(), waits), RequestLog.AnswerEnd.of(last, position()));
  }

  long sinceArrival() {
    return exchange.origin().waitedMs(context.clock().millis());
  }
}
