package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import java.net.InetSocketAddress;
import java.util.OptionalLong;

/**
 * The endpoint that a request is sent to.
 *
 * @param endpoint its name
 * @param address where it listens
 * @param expectedVersion the adapter version that it must have; empty if any version is accepted
 */
public record Target(
    EndpointId endpoint, InetSocketAddress address, OptionalLong expectedVersion) {}
