package io.sequoiapass.gateway.spi;

import io.sequoiapass.coordination.ApiKey;
import io.sequoiapass.gateway.request.Generation;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Metadata decoded from the headers of a caller's request.
 *
 * @param requestId the request id set by the caller; an empty string if the header is absent
 * @param deadlineMs time the caller allows for the request, in milliseconds; empty if the header is
 *     absent or not a number
 * @param generation the generation request; empty for plain services
 * @param lastEventId id of the last event that the caller received before it resumed the stream;
 *     empty if the header is absent or not a number
 * @param resumes the id of the caller's attempt that brought the first event of the stream that
 *     this request resumes; empty if the caller names none
 * @param tokens length of the prompt and the longest answer together, in tokens; empty if the
 *     caller states none
 * @param key the API key that the caller presents; empty if there is none or it is malformed
 */
public record CallerFacts(
    String requestId,
    OptionalLong deadlineMs,
    Optional<Generation> generation,
    OptionalLong lastEventId,
    Optional<String> resumes,
    OptionalLong tokens,
    Optional<ApiKey> key) {}
