package io.sequoiapass.daemon.request;

import io.sequoiapass.coordination.IdempotencyKey;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.coordination.request.Priority;
import io.sequoiapass.coordination.request.Repeatability;
import io.sequoiapass.daemon.connection.peer.ForwardedWork;
import java.util.Objects;
import java.util.Optional;

/**
 * Is one checked request of a caller.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param callerId the caller's own name for it, echoed in the answer
 * @param id our name for it, unique over all callers
 * @param work what to run
 * @param target what can run it
 * @param repeatability whether it may run twice
 * @param priority how urgent it is
 * @param key the caller's idempotency key, if it gave one
 * @param deadlineMs when the answer is due, on the entry's monotonic clock
 * @param streamed whether the caller wants tokens as they come
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

  /** Checks that all parts are there. */
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
   * Returns whether its start has to be recorded first. Work that may run twice needs no record,
   * and would only be refused when the record cannot be asked.
   */
  public boolean startIsRecorded() {
    return key.isPresent() && repeatability.needsStartGrant();
  }
}
