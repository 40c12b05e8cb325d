package io.sequoiapass.gateway.request;

import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.ReusePolicy;
import io.sequoiapass.gateway.process.Target;
import io.sequoiapass.gateway.spi.EndpointProtocol;
import io.sequoiapass.gateway.spi.ForwardTerms;
import io.sequoiapass.gateway.version.RouteSpec;
import java.util.OptionalLong;

/**
 * A caller's request in the form in which it is sent to endpoints.
 *
 * @param protocol the wire protocol of the endpoints
 * @param route the request's route
 * @param access what the caller was granted
 * @param request the caller's request
 */
record ForwardedRequest(
    EndpointProtocol protocol, RouteSpec route, CallerAccess access, HttpRequestMessage request) {

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
        .reuse(route.mayRepeat() ? ReusePolicy.ANY : ReusePolicy.RECENT)
        .resetIfAbandoned();
  }
}
