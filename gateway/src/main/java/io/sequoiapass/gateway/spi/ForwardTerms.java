package io.sequoiapass.gateway.spi;

import io.sequoiapass.coordination.EndpointId;
import java.util.OptionalLong;

/**
 * What is sent to an endpoint in addition to the caller's request.
 *
 * @param endpoint the addressed endpoint; any other rejects the request
 * @param remainingMs how long the caller still waits, in milliseconds
 * @param priority the priority; 0 is the highest
 * @param expectedVersion the adapter version that the endpoint must hold; empty for any
 * @param lastEventId the event after which the stream resumes; empty if it starts from the
 *     beginning
 * @param identity whose request it is
 */
public record ForwardTerms(
    EndpointId endpoint,
    long remainingMs,
    int priority,
    OptionalLong expectedVersion,
    OptionalLong lastEventId,
    CallerIdentity identity) {}
