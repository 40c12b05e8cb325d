package io.sequoiapass.gateway.spi;

import io.sequoiapass.coordination.EndpointId;
import java.util.OptionalLong;

/**
 * What is sent to an endpoint beside the caller's own request.
 *
 * @param endpoint the endpoint that is meant; any other refuses
 * @param remainingMs how long the caller still waits, in milliseconds
 * @param priority the rank, 0 first
 * @param expectedVersion the adapter version that it has to have; empty if any will do
 * @param lastEventId the event after which the stream goes on; empty if it begins anew
 */
public record ForwardTerms(
    EndpointId endpoint,
    long remainingMs,
    int priority,
    OptionalLong expectedVersion,
    OptionalLong lastEventId) {}
