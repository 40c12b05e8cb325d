package io.sequoiapass.coordination.request;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.RequestId;
import java.util.Objects;
import java.util.Optional;

/**
 * Properties of a request that its attempts depend on.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param id the request
 * @param runsOn the adapter and version that every frame must name; empty for a plain service
 * @param repeatability whether it may run twice
 * @param priority its priority
 * @param keyed whether the primary replica of its idempotency key must record the start
 * @param resumable whether an answer can resume at a token offset; true for engines
 * @param deadlineMillis when the answer is due, on the monotonic clock of the entry daemon
 */
public record RequestSpec(
    RequestId id,
    Optional<AdapterVersion> runsOn,
    Repeatability repeatability,
    Priority priority,
    boolean keyed,
    boolean resumable,
    long deadlineMillis) {

  /** Validates the components. */
  public RequestSpec {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(runsOn, "runsOn");
    Objects.requireNonNull(repeatability, "repeatability");
    Objects.requireNonNull(priority, "priority");
  }
}
