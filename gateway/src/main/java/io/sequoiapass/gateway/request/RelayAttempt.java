package io.sequoiapass.gateway.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.connection.BodyFraming;
import io.sequoiapass.daemon.connection.HeldResponse;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.connection.HttpStream;
import io.sequoiapass.daemon.connection.HttpStreamListener;
import io.sequoiapass.daemon.connection.ResponseBody;
import io.sequoiapass.gateway.process.Recipient;
import io.sequoiapass.gateway.spi.AnswerClass;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Receives the answer to one attempt of a request, classifies it and notifies the request. Used on
 * the event loop of the attempt's connection.
 */
abstract class RelayAttempt implements HttpStreamListener {

  /** Largest answer that is buffered until it is complete, in bytes. */
  private static final int MAX_HELD_BYTES = 8 << 20;

  /** Largest body of an answer that only its head matters of, in bytes. */
  private static final int MAX_IGNORED_BYTES = 64 << 10;

  /**
   * How long an attempt may be silent before a lost path is taken as the cause, in milliseconds.
   */
  private static final long SILENCE_MS = 400;

  final RelayedRequest request;
  final Recipient recipient;
  final long sentAt;
  volatile HttpStream stream;

  /** Whether a load at another endpoint was requested; used under the request's lock. */
  boolean loadRequested;

  private volatile long receivedAt;
  private final HeldResponse held;
  private AnswerClass answer;
  private int status;
  private volatile HttpHeaders headers;
  private final AtomicBoolean cancelled = new AtomicBoolean();
  private final AtomicBoolean completed = new AtomicBoolean();

  RelayAttempt(RelayedRequest request, Recipient recipient, long sentAt) {
    this.request = request;
    this.recipient = recipient;
    this.sentAt = sentAt;
    this.receivedAt = sentAt;
    this.held = new HeldResponse(request.context.http().memory(), this::discard);
  }

  /** Returns the software version of the endpoint that answers. */
  abstract SoftwareVersion software();

  /** Returns the endpoint that the request was sent to; empty if a peer chooses it. */
  Optional<EndpointId> endpoint() {
    return Optional.empty();
  }

  /**
   * Returns how long the recipient may be silent before the request is sent a second time, in
   * milliseconds.
   */
  long silenceMs() {
    return Long.MAX_VALUE;
  }

  /** Returns whether this daemon has no path to the recipient, which is silent. */
  boolean isCutOff(long now) {
    return false;
  }

  boolean isSilent(long now) {
    return silentForMs(now) >= SILENCE_MS;
  }

  /** Returns the time since anything was received, or the request was sent, in milliseconds. */
  long silentForMs(long now) {
    return now - receivedAt;
  }

  /** Returns what an answer that is lost or broken off indicates about the recipient. */
  Recipient.Ending lostEnding() {
    return Recipient.Ending.FAILED;
  }

  /** Counts that the attempt may have run. */
  void countRun(AttemptCount attempts) {
    attempts.ran();
  }

  /** Called when an answer that has ended turns out to be broken off. */
  void brokenOff() {}

  /** Adds the recipient to those that the request must not be sent to again. */
  abstract void avoidFrom(AvoidedRecipients avoided);

  /** Called when a complete answer states that the request did not run. */
  abstract void notRun();

  AnswerClass answer() {
    return answer;
  }

  /** Returns how the end of the answer is marked; empty if no answer has arrived. */
  Optional<BodyFraming> framing() {
    return Optional.ofNullable(headers).map(BodyFraming::of);
  }

  /** Records that the attempt has ended; returns false if it had ended before. */
  final boolean complete() {
    return completed.compareAndSet(false, true);
  }

  /**
   * Headers and body of a complete answer.
   *
   * @param headers its headers
   * @param bytes its body
   */
  // Bodies are never compared, so equals by array identity is harmless.
  @SuppressWarnings("ArrayRecordComponent")
  record Body(HttpHeaders headers, byte[] bytes) {}

  /** Returns whether the attempt has ended, with a complete answer or a failure. */
  boolean isCompleted() {
    return completed.get();
  }

  @Override
  public void started(int newStatus, HttpHeaders newHeaders) {
    receivedAt = request.now();
    status = newStatus;
    headers = newHeaders;
    answer = request.began(this, newStatus, newHeaders);
  }

  /**
   * Ends an attempt that was rejected if its answer is not complete in time. The head says all that
   * matters, but a connection whose body ends can be used again.
   */
  final void endRejectionInTime() {
    request
        .context
        .loop()
        .schedule(
            this::rejectionOverdue, EndpointTimeouts.REJECTION_BODY_MS, TimeUnit.MILLISECONDS);
  }

  private void rejectionOverdue() {
    if (!isCompleted()) {
      cutOff("rejection is not complete in time");
    }
  }

  /** Closes the connection of an answer that is not awaited any longer; returns false if it was. */
  final boolean cancel() {
    if (!cancelled.compareAndSet(false, true)) {
      return false;
    }
    HttpStream open = stream;
    if (open != null) {
      open.cancel();
    }
    held.close();
    return true;
  }

  /** Closes the connection of an answer that is too long or too slow, and ends the attempt. */
  final void cutOff(String reason) {
    if (cancel()) {
      failed(new HttpFailure(reason, true));
    }
  }

  private void discard() {
    cutOff("no memory for the answer");
  }

  /** Returns whether the answer is a stream of events, which is relayed as it arrives. */
  final boolean isStream(AnswerClass classified) {
    CharSequence type = HttpUtil.getMimeType(headers.get(HttpHeaderNames.CONTENT_TYPE, ""));
    return classified == AnswerClass.SUCCESS
        && request.route.streams()
        && (type == null || HttpHeaderValues.TEXT_EVENT_STREAM.contentEqualsIgnoreCase(type));
  }

  @Override
  public void received(byte[] part) {
    receivedAt = request.now();
    if (isStream(answer)) {
      if (!held.holds(request.received(this, part))) {
        discard();
      }
    } else if (held.size() + part.length > mostHeldBytes()) {
      cutOff("answer exceeds " + mostHeldBytes() + " bytes");
    } else if (!held.add(part)) {
      discard();
    }
  }

  /** Only the bodies of answers that are passed on matter. */
  private int mostHeldBytes() {
    return answer.isPassedOn() ? MAX_HELD_BYTES : MAX_IGNORED_BYTES;
  }

  @Override
  public void ended() {
    byte[] body = held.take();
    if (!complete()) {
      return;
    }
    if (answer.isNotRun()) {
      notRun();
    } else if (answer == AnswerClass.UNTRUSTED) {
      request.broken(this, "untrusted answer with status " + status);
    } else if (isStream(answer)) {
      request.streamEnded(this, BodyFraming.of(headers));
    } else {
      plainAnswerEnded(body);
    }
  }

  private void plainAnswerEnded(byte[] body) {
    if (ResponseBody.isBrokenOff(headers, body)) {
      brokenOff();
      request.broken(this, "answer ended inside a JSON document");
    } else {
      request.answered(this, answer, status, new Body(headers, body));
    }
  }

  @Override
  public void failed(HttpFailure failure) {
    held.close();
    if (!complete()) {
      return;
    }
    if (answer != null && answer.isNotRun()) {
      notRun();
    } else if (failure.mayHaveReached()) {
      request.broken(this, String.valueOf(failure.getMessage()));
    } else {
      request.unsent(this, failure);
    }
  }
}
