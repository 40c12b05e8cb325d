package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.LinkMessage;

/** The result of a load request. */
sealed interface LoadReply {

  /**
   * The adapter is held or loading.
   *
   * @param endpoint where
   */
  record Assigned(EndpointId endpoint) implements LoadReply {}

  /**
   * Another data centre has the adapter, or is loading it.
   *
   * @param placement where
   */
  record HeldElsewhere(LinkMessage.Placement placement) implements LoadReply {}

  /** The load is queued until a slot is free. */
  record Queued() implements LoadReply {}

  /**
   * No slot can be freed now.
   *
   * @param retryAfterMs when to try again, in milliseconds
   */
  record Rejected(long retryAfterMs) implements LoadReply {}
}
