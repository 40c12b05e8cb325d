package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import java.net.InetSocketAddress;
import java.util.OptionalLong;

/**
 * The endpoint that a request goes to.
 *
 * @param endpoint its name
 * @param address where it listens
 * @param expectedVersion the adapter version that it has to have; empty if any will do
 */
public record Target(
    EndpointId endpoint, InetSocketAddress address, OptionalLong expectedVersion) {}
