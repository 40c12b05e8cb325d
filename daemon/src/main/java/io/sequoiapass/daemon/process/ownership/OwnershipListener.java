package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.LeaseStanding;
import io.sequoiapass.coordination.process.MembershipChange;
import io.sequoiapass.coordination.process.OwnershipTable;

/** Hears of leases, members and ownership; called under the node's lock, must not block. */
public interface OwnershipListener {

  /**
   * Called when this daemon's lease stands otherwise than before.
   *
   * @param standing how it stands
   */
  void leaseStands(LeaseStanding standing);

  /**
   * Called when a newer ownership table is known.
   *
   * @param dataCentre whose
   * @param table the table
   */
  void tableChanged(DataCentreId dataCentre, OwnershipTable table);

  /**
   * Called when a peer is heard again, or no longer.
   *
   * @param change what changed
   */
  void memberChanged(MembershipChange change);

  /**
   * Called when a peer is silent for so long that its work goes elsewhere.
   *
   * @param peer the peer
   */
  void peerDead(DaemonId peer);
}
