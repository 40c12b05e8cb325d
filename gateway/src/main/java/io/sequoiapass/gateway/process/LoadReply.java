package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.LinkMessage;

/** The result of a load request. */
sealed interface LoadReply {

  /**
   * The adapter is held or loading.
   *
   * @param endpoint the endpoint that holds or loads it
   */
  record Assigned(EndpointId endpoint) implements LoadReply {}

  /**
   * Another data centre holds or loads the adapter.
   *
   * @param placement the endpoint that holds or loads it, the version, and the time until it is
   *     loaded
   */
  record HeldElsewhere(LinkMessage.Placement placement) implements LoadReply {}

  /** The load is queued until a slot is free. */
  record Queued() implements LoadReply {}

  /**
   * No slot can be freed now.
   *
   * @param retryAfterMs delay before the load should be requested again, in milliseconds
   */
  record Rejected(long retryAfterMs) implements LoadReply {

    /** Time until the next attempt if no adapter can be evicted, in milliseconds. */
    private static final long NO_SLOT_RETRY_AFTER_MS = 400;

    /** Returns the rejection of a load for which no adapter can be evicted. */
    static Rejected noSlot() {
      return new Rejected(NO_SLOT_RETRY_AFTER_MS);
    }
  }
}
