package io.sequoiapass.gateway.request;

import io.sequoiapass.daemon.connection.HttpRequestMessage;
import io.sequoiapass.daemon.connection.HttpResponder;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.version.SoftwareVersion;

/**
 * A caller's request, what is known about it, and its responder.
 *
 * @param request the request
 * @param facts what its headers state
 * @param access what the caller was granted
 * @param origin the caller or peer that it comes from
 * @param responder sends the answer
 */
public record CallerExchange(
    HttpRequestMessage request,
    CallerFacts facts,
    CallerAccess access,
    RequestOrigin origin,
    HttpResponder responder) {

  /** Returns the same exchange of a request that one software version has to serve. */
  public CallerExchange boundTo(SoftwareVersion version) {
    return new CallerExchange(request, facts, access, origin.boundTo(version), responder);
  }

  /** Returns the same exchange with other access. */
  public CallerExchange withAccess(CallerAccess other) {
    return new CallerExchange(request, facts, other, origin, responder);
  }
}
