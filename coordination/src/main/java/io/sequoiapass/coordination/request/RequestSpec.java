package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.RequestId;
import java.util.Objects;
import java.util.Optional;

/**
 * Holds what one request asks for, as far as its attempts depend on it.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param id the request
 * @param runsOn the adapter and version that every frame has to name; empty for a plain service
 * @param repeatability whether it may run twice
 * @param priority its priority
 * @param keyed whether its start has to be recorded at the home of its idempotency key
 * @param resumable whether an answer can go on at a token offset; true for engines
 * @param deadlineMillis when the answer is due, on the entry's monotonic clock
 */
public record RequestSpec(
    RequestId id,
    Optional<AdapterVersion> runsOn,
    Repeatability repeatability,
    Priority priority,
    boolean keyed,
    boolean resumable,
    long deadlineMillis) {

  /** Checks the parts. */
  public RequestSpec {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(runsOn, "runsOn");
    Objects.requireNonNull(repeatability, "repeatability");
    Objects.requireNonNull(priority, "priority");
  }
}
