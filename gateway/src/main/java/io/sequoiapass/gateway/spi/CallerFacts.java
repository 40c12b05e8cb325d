package io.sequoiapass.gateway.spi;

import io.sequoiapass.gateway.request.Generation;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the headers of a caller's request state.
 *
 * @param requestId the caller's id of the request; empty if it gave none
 * @param deadlineMs how long the caller waits, in milliseconds; empty if not stated
 * @param generation the generation request; empty for plain services
 * @param lastEventId the last event that the caller received of a stream that it resumes
 */
public record CallerFacts(
    String requestId,
    OptionalLong deadlineMs,
    Optional<Generation> generation,
    OptionalLong lastEventId) {}
