package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.daemon.connection.ClientPresence;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.ReusePolicy;
import io.sequoiapass.gateway.connection.PeerRequest;
import io.sequoiapass.gateway.process.Demand;
import io.sequoiapass.gateway.process.Target;
import io.sequoiapass.gateway.spi.EndpointProtocol;
import io.sequoiapass.gateway.spi.ForwardTerms;
import io.sequoiapass.gateway.version.RouteSpec;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * A caller's request in the form in which it is sent to endpoints.
 *
 * @param protocol the wire protocol of the endpoints
 * @param service the service that answers the request
 * @param route the request's route
 * @param access what the caller was granted
 * @param request the caller's request
 * @param caller how recently the caller's connection was read
 */
record ForwardedRequest(
    EndpointProtocol protocol,
    ServiceId service,
    RouteSpec route,
    CallerAccess access,
    HttpRequestMessage request,
    ClientPresence caller) {

  /**
   * Returns the request of a caller or a peer.
   *
   * @param protocol the wire protocol of the endpoints
   * @param service the service that answers the request
   * @param route its route
   * @param exchange the request, and what is known about it
   */
  static ForwardedRequest of(
      EndpointProtocol protocol, ServiceId service, RouteSpec route, CallerExchange exchange) {
    return new ForwardedRequest(
        protocol,
        service,
        route,
        exchange.access(),
        exchange.request(),
        exchange.responder().presence());
  }

  /**
   * Returns the call to an endpoint.
   *
   * @param target the endpoint
   * @param remainingMs how long the caller still waits, in milliseconds
   * @param lastEvent the last event that the caller has received, or {@link EventRelay#NONE}
   */
  HttpCall to(Target target, long remainingMs, long lastEvent) {
    OptionalLong lastEventId =
        lastEvent == EventRelay.NONE ? OptionalLong.empty() : OptionalLong.of(lastEvent);
    ForwardTerms terms =
        new ForwardTerms(
            target.endpoint(),
            remainingMs,
            access.priority().orElse(route.priority()),
            target.expectedVersion(),
            lastEventId,
            access.identity());
    return HttpCall.to(target.address(), request.method(), request.target())
        .headers(protocol.forwardHeaders(request.headers(), terms))
        .body(request.body())
        .reuse(reusePolicy())
        .resetIfAbandoned()
        .onBehalfOf(caller);
  }

  /**
   * Returns what a peer needs to know to send the request to an endpoint.
   *
   * @param self this daemon
   * @param origin the caller
   * @param now the time, in milliseconds
   * @param runs the number of attempts that may have run
   * @param earnsRetries whether the peer counts the request for its retry budget
   * @param lastEventId the last event that the caller has received
   * @param software the software version that has to serve the request; empty if any may
   */
  PeerRequest decided(
      DaemonId self,
      RequestOrigin origin,
      long now,
      int runs,
      boolean earnsRetries,
      OptionalLong lastEventId,
      Optional<SoftwareVersion> software) {
    return new PeerRequest(
        self,
        service,
        route,
        access.identity(),
        access.priority(),
        origin.waitedMs(now),
        origin.remainingMs(now),
        runs,
        earnsRetries,
        lastEventId,
        software);
  }

  /**
   * Returns what the request needs of an endpoint.
   *
   * @param generation the generation; empty for a plain call
   * @param avoid endpoints that failed the request before
   * @param software the software version that has to serve it; empty if any may
   * @param flow its priority and workspace
   * @param remainingMs time until the caller's deadline, in milliseconds
   */
  Demand demand(
      Optional<Generation> generation,
      Set<EndpointId> avoid,
      Optional<SoftwareVersion> software,
      Flow flow,
      long remainingMs) {
    return new Demand(generation, avoid, software, flow, reusePolicy(), remainingMs);
  }

  /** Returns which idle connections the request may be sent on. */
  ReusePolicy reusePolicy() {
    return route.mayRepeat() ? ReusePolicy.ANY : ReusePolicy.RECENT;
  }
}
