package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.request.Generation;
import java.util.Optional;
import java.util.Set;

/**
 * What one request needs of an endpoint.
 *
 * @param generation what is to be generated; empty for a plain call
 * @param avoid endpoints that failed it before
 * @param remainingMs how long the caller still waits, in milliseconds
 */
public record Demand(Optional<Generation> generation, Set<EndpointId> avoid, long remainingMs) {}
