package io.sequoiapass.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.gateway.process.EndpointTicket;
import io.sequoiapass.gateway.process.PathMonitor;
import io.sequoiapass.gateway.spi.AnswerClass;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.Optional;

/** An attempt at an endpoint, over a connection of this daemon. */
final class EndpointAttempt extends RelayAttempt {

  final EndpointTicket ticket;
  final DataCentreId dataCentre;
  private final PathMonitor path;
  private final CrashEvidence.Progress progress;
  private final long silenceMs;

  EndpointAttempt(
      RelayedRequest request,
      EndpointTicket ticket,
      DataCentreId dataCentre,
      PathMonitor path,
      CrashEvidence.Progress progress,
      long silenceMs,
      long sentAt) {
    super(request, ticket, sentAt);
    this.ticket = ticket;
    this.dataCentre = dataCentre;
    this.path = path;
    this.progress = progress;
    this.silenceMs = silenceMs;
  }

  @Override
  SoftwareVersion software() {
    return ticket.software();
  }

  @Override
  Optional<EndpointId> endpoint() {
    return Optional.of(ticket.endpoint());
  }

  @Override
  long silenceMs() {
    return silenceMs;
  }

  @Override
  boolean isCutOff(long now) {
    return path.isLost() && isSilent(now);
  }

  @Override
  void avoidFrom(AvoidedRecipients avoided) {
    avoided.add(ticket.endpoint());
  }

  @Override
  public void started(int status, HttpHeaders headers) {
    path.received(ticket.endpoint());
    super.started(status, headers);
    if (answer() == AnswerClass.SUCCESS) {
      progress.begun(request.now());
    } else if (answer().isNotRun()) {
      endRejectionInTime();
    }
  }

  @Override
  public void received(byte[] part) {
    path.received(ticket.endpoint());
    progress.received(request.now());
    super.received(part);
  }

  @Override
  public void ended() {
    progress.ended();
    super.ended();
  }

  @Override
  void brokenOff() {
    progress.broken(request.now());
  }

  @Override
  void notRun() {
    request.rejected(this, answer());
  }

  @Override
  public void failed(HttpFailure failure) {
    if (answer() == null) {
      path.connectionFailed();
    }
    if (failure.mayHaveReached()) {
      progress.broken(request.now());
    }
    super.failed(failure);
  }
}
