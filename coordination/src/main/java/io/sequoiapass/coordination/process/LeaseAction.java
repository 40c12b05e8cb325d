package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.OperationId;
import java.util.Optional;

/**
 * Call to the platform requested by {@link LeaseManager}.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface LeaseAction {

  /** Returns the peer that relays the call; empty if the daemon calls the platform directly. */
  Optional<DaemonId> relay();

  /**
   * Read of the daemon's own lease object.
   *
   * @param relay the peer that relays the call; empty for a direct call
   */
  record Read(Optional<DaemonId> relay) implements LeaseAction {}

  /**
   * Conditional write of the daemon's own lease object.
   *
   * @param operation the identifier of the write
   * @param expectedVersion the version the object must have; 0 if it must not exist
   * @param lease the new value
   * @param relay the peer that relays the call; empty for a direct call
   */
  record Renew(
      OperationId operation, long expectedVersion, LeaseRecord lease, Optional<DaemonId> relay)
      implements LeaseAction {}
}
