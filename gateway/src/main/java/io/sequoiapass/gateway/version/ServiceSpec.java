package io.sequoiapass.gateway.version;

import io.sequoiapass.coordination.ServiceId;
import java.util.Optional;

/**
 * Describes one service: a group of endpoints that answer the same requests.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param service its name
 * @param maxConnections connections that one endpoint accepts in total
 * @param engine the capacity and models of its engines; empty for a plain service
 */
public record ServiceSpec(ServiceId service, int maxConnections, Optional<EngineSpec> engine) {}
