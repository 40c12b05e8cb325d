package io.sequoiapass.daemon.request;

import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.request.Priority;
import io.sequoiapass.coordination.request.Repeatability;
import io.sequoiapass.daemon.connection.peer.ForwardedWork;
import java.util.Objects;
import java.util.Optional;

/**
 * A validated request of a caller.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param callerId the caller's own id of the request, echoed in the answer
 * @param id the internal id, unique over all callers
 * @param work the work to run
 * @param target the endpoints that can run it
 * @param repeatability whether it may run more than once
 * @param priority its scheduling priority
 * @param key the caller's idempotency key, if it gave one
 * @param deadlineMs when the answer is due, on the entry's monotonic clock
 * @param streamed whether the caller wants tokens as they arrive
 */
public record CallerRequest(
    String callerId,
    RequestId id,
    ForwardedWork work,
    RouteTarget target,
    Repeatability repeatability,
    Priority priority,
    Optional<IdempotencyKey> key,
    long deadlineMs,
    boolean streamed) {

  /** Checks that no component is null. */
  public CallerRequest {
    Objects.requireNonNull(callerId, "callerId");
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(work, "work");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(repeatability, "repeatability");
    Objects.requireNonNull(priority, "priority");
    Objects.requireNonNull(key, "key");
  }

  /**
   * Returns whether its start has to be recorded in the idempotency ledger first. Work that may run
   * more than once needs no record, and would only be refused while the ledger is unavailable.
   */
  public boolean startIsRecorded() {
    return key.isPresent() && repeatability.needsStartGrant();
  }
}
