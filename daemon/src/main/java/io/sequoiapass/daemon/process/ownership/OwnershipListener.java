package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.LeaseStatus;
import io.sequoiapass.coordination.process.MembershipChange;
import io.sequoiapass.coordination.process.OwnershipTable;

/**
 * Receives changes of the lease, membership and ownership. Called under the lock of the {@link
 * OwnershipNode}; must not block.
 */
public interface OwnershipListener {

  /**
   * Called when the status of this daemon's lease has changed.
   *
   * @param status the new status
   */
  void leaseStatusChanged(LeaseStatus status);

  /**
   * Called when a newer ownership table has been received or written.
   *
   * @param dataCentre the table's data centre
   * @param table the table
   */
  void tableChanged(DataCentreId dataCentre, OwnershipTable table);

  /**
   * Called when the state of a peer has changed.
   *
   * @param change the change
   */
  void memberChanged(MembershipChange change);

  /**
   * Called when a peer is declared dead after missed heartbeats, so that its work is reassigned.
   *
   * @param peer the peer
   */
  void peerDead(DaemonId peer);
}
