package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.daemon.connection.ReusePolicy;
import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.version.SoftwareVersion;
import java.util.Optional;
import java.util.Set;

/**
 * The requirements of one request for an endpoint.
 *
 * @param generation the generation; empty for a plain call
 * @param avoid endpoints that failed the request before
 * @param software the software version that has to serve it; empty if any may
 * @param flow its priority and workspace
 * @param reuse which idle connections it may be sent on
 * @param remainingMs time until the caller's deadline, in milliseconds
 */
public record Demand(
    Optional<Generation> generation,
    Set<EndpointId> avoid,
    Optional<SoftwareVersion> software,
    Flow flow,
    ReusePolicy reuse,
    long remainingMs) {

  /** Returns whether an endpoint of a software version may serve the request. */
  public boolean allows(SoftwareVersion version) {
    return software.isEmpty() || software.get().equals(version);
  }
}
