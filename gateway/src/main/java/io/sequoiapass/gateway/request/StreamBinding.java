package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.StreamVersions;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.version.RouteSpec;
import io.sequoiapass.gateway.version.SoftwareVersion;
import io.sequoiapass.gateway.version.StreamVersion;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Binds a stream to the software version that wrote its first event. Each attempt of the request
 * asks it, so that no other version continues the stream. A stream without an event is not bound.
 *
 * <p>Not safe for use by several threads: used under the request's lock.
 */
final class StreamBinding {

  private final StreamVersions versions;
  private final ServiceId service;
  private final RequestOrigin origin;
  private final boolean isRecorded;
  private final String requestId;
  private Optional<SoftwareVersion> software;

  /** The attempt that brought the first event. */
  private Optional<RelayAttempt> writer = Optional.empty();

  /**
   * Creates the binding of a request.
   *
   * @param versions the streams that callers may resume elsewhere
   * @param service the service that answers the request
   * @param route its route
   * @param facts what its headers state
   * @param origin where it comes from
   */
  StreamBinding(
      StreamVersions versions,
      ServiceId service,
      RouteSpec route,
      CallerFacts facts,
      RequestOrigin origin) {
    this.versions = versions;
    this.service = service;
    this.origin = origin;
    this.requestId = facts.requestId();
    this.software = origin.software();
    this.isRecorded = route.streams() && route.mayRepeat() && origin.mayUsePeers();
  }

  /**
   * Returns the version that has to continue the stream, which is unstated if it is not known;
   * empty if any version may serve it.
   */
  Optional<SoftwareVersion> software() {
    if (software.isEmpty() && writer.isPresent() && !isResolved()) {
      return Optional.of(SoftwareVersion.UNSTATED);
    }
    return software;
  }

  /**
   * Called when the head of a stream is sent to a peer, which takes the version from it: a later
   * attempt must not change it.
   */
  void headSent(RelayAttempt from) {
    if (!origin.mayUsePeers()) {
      bind(from);
    }
  }

  /** Called before an event of the stream is sent to the caller. */
  void sendsEvent(RelayAttempt from) {
    bind(from);
  }

  private void bind(RelayAttempt from) {
    if (software.isEmpty() && writer.isEmpty()) {
      writer = Optional.of(from);
      if (!isResolved()) {
        from.recipient.verify();
      }
    } else if (software.isEmpty()) {
      isResolved();
    }
  }

  /** Returns whether the version of the process that wrote the first event is known. */
  private boolean isResolved() {
    SoftwareVersion version = writer.orElseThrow().software();
    if (version.equals(SoftwareVersion.UNSTATED)) {
      return false;
    }
    software = Optional.of(version);
    if (isRecorded) {
      versions.began(requestId, new StreamVersion(service, version));
    }
    return true;
  }

  /** Returns why a request is refused; a stream whose version is gone can't be continued later. */
  Refusal refusal(Choice.Refuse choice) {
    boolean isGone = software().isPresent() && choice.kind() == ErrorKind.NO_ENDPOINT;
    ErrorKind kind = isGone ? ErrorKind.STREAM_NOT_RESUMABLE : choice.kind();
    return new Refusal(
        kind,
        kind.comeBackMillis().isPresent()
            ? OptionalLong.of(choice.retryAfterMs())
            : OptionalLong.empty());
  }

  /**
   * Why a request is refused.
   *
   * @param kind the reason
   * @param retryAfterMs when the caller may retry, in milliseconds; empty if that is of no use
   */
  record Refusal(ErrorKind kind, OptionalLong retryAfterMs) {}
}
