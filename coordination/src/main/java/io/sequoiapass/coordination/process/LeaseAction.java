package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.OperationId;
import java.util.Optional;

/**
 * A call to the platform that {@link LeaseKeeper} asks for.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public sealed interface LeaseAction {

  /** Returns the peer that is to relay the call; the daemon calls by itself if there is none. */
  Optional<DaemonId> relay();

  /**
   * Read the own lease object.
   *
   * @param relay the peer that is to relay the call
   */
  record Read(Optional<DaemonId> relay) implements LeaseAction {}

  /**
   * Write the own lease object.
   *
   * @param operation the write's name
   * @param expectedVersion the version the object must have; 0 if it must not exist
   * @param lease the value
   * @param relay the peer that is to relay the call
   */
  record Renew(
      OperationId operation, long expectedVersion, LeaseRecord lease, Optional<DaemonId> relay)
      implements LeaseAction {}
}
