package io.sequoiapass.gateway.request;

import io.sequoiapass.gateway.connection.PeerRequest;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.version.RouteSpec;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Where a request comes from: a caller of this daemon, or a peer that has accepted it.
 *
 * @param arrivedAt when it arrived at the first daemon, in milliseconds of this daemon's clock
 * @param deadlineAt until when the caller waits, in milliseconds of this daemon's clock
 * @param runs the number of attempts of the first daemon that may have run
 * @param lastEventId the last event that the caller has received; empty if there is none
 * @param software the software version that has to serve it; empty if any may
 * @param errors how errors are stated
 */
public record RequestOrigin(
    long arrivedAt,
    long deadlineAt,
    int runs,
    OptionalLong lastEventId,
    Optional<SoftwareVersion> software,
    ErrorFormat errors) {

  /**
   * Returns the origin of a caller's request.
   *
   * @param route its route
   * @param facts what its headers state
   * @param now the time, in milliseconds
   */
  public static RequestOrigin caller(RouteSpec route, CallerFacts facts, long now) {
    long allowedMs = Math.min(route.timeoutMs(), facts.deadlineMs().orElse(route.timeoutMs()));
    return new RequestOrigin(
        now, now + allowedMs, 0, facts.lastEventId(), Optional.empty(), ErrorFormat.CALLER);
  }

  /** Returns the same origin of a request that one software version has to serve. */
  public RequestOrigin boundTo(SoftwareVersion version) {
    return new RequestOrigin(
        arrivedAt, deadlineAt, runs, lastEventId, Optional.of(version), errors);
  }

  /**
   * Returns the origin of a peer's request.
   *
   * @param request what the peer has decided
   * @param now the time, in milliseconds
   */
  public static RequestOrigin peer(PeerRequest request, long now) {
    return new RequestOrigin(
        now - request.waitedMs(),
        now + request.remainingMs(),
        request.runs(),
        request.lastEventId(),
        request.software(),
        ErrorFormat.PEER);
  }

  /** Returns how long ago the request arrived, in milliseconds. */
  long waitedMs(long now) {
    return now - arrivedAt;
  }

  /** Returns how long the caller still waits, in milliseconds. */
  long remainingMs(long now) {
    return deadlineAt - now;
  }

  /** Returns whether the request may be sent through a peer; never through a second one. */
  boolean mayUsePeers() {
    return errors == ErrorFormat.CALLER;
  }
}
