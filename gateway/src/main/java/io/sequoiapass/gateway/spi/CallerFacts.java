package io.sequoiapass.gateway.spi;

import io.sequoiapass.gateway.request.Generation;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller says in the headers of its request.
 *
 * @param requestId names the attempt; empty if the caller gave none
 * @param deadlineMs how long the caller waits, in milliseconds; empty if it does not say
 * @param generation what is to be generated; empty for plain services
 * @param lastEventId the last event of a broken stream that the caller wants to go on
 */
public record CallerFacts(
    String requestId,
    OptionalLong deadlineMs,
    Optional<Generation> generation,
    OptionalLong lastEventId) {}
