package io.sequoiapass.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.daemon.connection.HttpStream;
import io.sequoiapass.daemon.connection.HttpStreamListener;
import io.sequoiapass.gateway.process.EndpointTicket;
import io.sequoiapass.gateway.spi.AnswerClass;
import java.io.ByteArrayOutputStream;

/**
 * Receives the answer to one attempt of a request, classifies it and notifies the request. Used on
 * the event loop of the attempt's connection.
 */
final class RelayAttempt implements HttpStreamListener {

  /** Largest answer that is buffered until it is complete, in bytes. */
  private static final int MAX_HELD_BYTES = 8 << 20;

  final EndpointTicket ticket;
  final DataCentreId dataCentre;
  final long sentAt;
  volatile HttpStream stream;

  /** Whether a load at another endpoint was requested; used under the request's lock. */
  boolean loadRequested;

  private final RelayedRequest request;
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private AnswerClass answer;
  private int status;
  private HttpHeaders headers;
  private volatile boolean completed;

  RelayAttempt(
      RelayedRequest request, EndpointTicket ticket, DataCentreId dataCentre, long sentAt) {
    this.request = request;
    this.ticket = ticket;
    this.dataCentre = dataCentre;
    this.sentAt = sentAt;
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
    return completed;
  }

  @Override
  public void started(int newStatus, HttpHeaders newHeaders) {
    request.path().received();
    status = newStatus;
    headers = newHeaders;
    answer = request.began(this, newStatus, newHeaders);
  }

  private boolean isStream() {
    return answer == AnswerClass.SUCCESS && request.streams();
  }

  @Override
  public void received(byte[] part) {
    request.path().received();
    if (isStream()) {
      request.received(this, part);
    } else if (held.size() + part.length <= MAX_HELD_BYTES) {
      held.writeBytes(part);
    } else {
      answer = AnswerClass.UNTRUSTED;
    }
  }

  @Override
  public void ended() {
    completed = true;
    if (answer.isNotRun()) {
      request.rejected(this, answer);
    } else if (answer == AnswerClass.UNTRUSTED) {
      request.broken(this, "untrusted answer with status " + status);
    } else if (isStream()) {
      request.streamEnded(this);
    } else {
      request.answered(this, answer, status, new Body(headers, held.toByteArray()));
    }
  }

  @Override
  public void failed(HttpFailure failure) {
    completed = true;
    request.path().connectionFailed();
    if (answer != null && answer.isNotRun()) {
      request.rejected(this, answer);
    } else if (failure.mayHaveReached()) {
      request.broken(this, String.valueOf(failure.getMessage()));
    } else {
      request.unsent(this, failure);
    }
  }
}
