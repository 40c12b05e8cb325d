package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.request.Generation;
import java.util.Optional;
import java.util.Set;

/**
 * The requirements of one request for an endpoint.
 *
 * @param generation the generation; empty for a plain call
 * @param avoid endpoints that failed the request before
 * @param remainingMs time until the caller's deadline, in milliseconds
 */
public record Demand(Optional<Generation> generation, Set<EndpointId> avoid, long remainingMs) {}
