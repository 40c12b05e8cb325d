package io.sequoiapass.gateway.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.OutcomeClass;
import io.sequoiapass.daemon.connection.HttpFailure;
import io.sequoiapass.gateway.connection.PeerRequest;
import io.sequoiapass.gateway.process.PeerDirectory;
import io.sequoiapass.gateway.process.Recipient;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.Optional;
import java.util.OptionalLong;

/** An attempt through a peer, which sends the request to an endpoint of its choice. */
final class PeerAttempt extends RelayAttempt {

  /** The peer's answer if no endpoint has answered; empty if one has. */
  private volatile Optional<PeerError> error = Optional.empty();

  private volatile SoftwareVersion software = SoftwareVersion.UNSTATED;

  private final PeerDirectory.PeerTicket ticket;

  PeerAttempt(RelayedRequest request, PeerDirectory.PeerTicket ticket, long sentAt) {
    super(request, ticket, sentAt);
    this.ticket = ticket;
  }

  /**
   * Why a peer has no answer of an endpoint.
   *
   * @param kind the reason
   * @param retryAfterMs when the caller may retry, in milliseconds; empty if unknown
   * @param hasSent whether the request has reached an endpoint, which did not run it
   */
  record PeerError(ErrorKind kind, OptionalLong retryAfterMs, boolean hasSent) {

    /** Reads an error from the headers of an answer; empty if the answer is an endpoint's. */
    static Optional<PeerError> read(HttpHeaders headers) {
      String kind = headers.get(PeerRequest.ERROR_HEADER);
      if (kind == null) {
        return Optional.empty();
      }
      String retryAfter = headers.get(PeerRequest.RETRY_AFTER_HEADER);
      boolean hasSent = headers.contains(PeerRequest.SENT_HEADER);
      try {
        return Optional.of(
            new PeerError(
                ErrorKind.valueOf(kind),
                retryAfter == null
                    ? OptionalLong.empty()
                    : OptionalLong.of(Long.parseLong(retryAfter)),
                hasSent));
      } catch (IllegalArgumentException e) {
        // A newer version of the peer may know other kinds.
        return Optional.of(new PeerError(ErrorKind.INTERNAL, OptionalLong.empty(), hasSent));
      }
    }

    /**
     * Returns whether another recipient may serve the request: the reason lies in this peer, or it
     * counts only what this daemon has sent before.
     */
    boolean isOfPeer() {
      boolean isEarlierRun = kind.outcomeClass() == OutcomeClass.UNKNOWN && !hasSent;
      return isEarlierRun || isOfPeer(kind);
    }

    private static boolean isOfPeer(ErrorKind kind) {
      return switch (kind) {
        case DRAINING,
            NO_CONFIGURATION,
            CONFIGURATION_NOT_CURRENT,
            ENDPOINTS_UNREACHABLE,
            UNAUTHORIZED ->
            true;
        default -> false;
      };
    }
  }

  @Override
  SoftwareVersion software() {
    return software;
  }

  /** Once an answer has begun, its endpoint is the likely cause of its end, not the peer. */
  @Override
  Recipient.Ending lostEnding() {
    return answer() == null ? Recipient.Ending.FAILED : Recipient.Ending.NO_BLAME;
  }

  @Override
  void countRun(AttemptCount attempts) {
    attempts.ranAtPeer();
  }

  @Override
  void avoidFrom(AvoidedRecipients avoided) {
    avoided.add(ticket.daemon());
  }

  @Override
  public void started(int status, HttpHeaders headers) {
    error = PeerError.read(headers);
    if (error.isPresent()) {
      endRejectionInTime();
    } else {
      software = new SoftwareVersion(headers.get(PeerRequest.SOFTWARE_HEADER, ""));
      super.started(status, headers.copy().remove(PeerRequest.SOFTWARE_HEADER));
    }
  }

  @Override
  public void received(byte[] part) {
    if (error.isEmpty()) {
      super.received(part);
    }
  }

  @Override
  public void ended() {
    if (error.isPresent()) {
      if (complete()) {
        request.peerFailed(this, error.get());
      }
    } else {
      super.ended();
    }
  }

  /** The head states the error, whether or not the rest arrives. */
  @Override
  public void failed(HttpFailure failure) {
    if (error.isEmpty()) {
      super.failed(failure);
    } else if (complete()) {
      request.peerFailed(this, error.get());
    }
  }

  /** Peers report an endpoint's rejection as an error of their own. */
  @Override
  void notRun() {
    request.broken(this, "unexpected rejection by a peer");
  }
}
