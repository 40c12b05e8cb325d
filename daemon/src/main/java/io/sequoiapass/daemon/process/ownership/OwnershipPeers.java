package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.HostHint;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import java.util.List;

/** Knows the other daemons and sends to them; safe for use by several threads. */
public interface OwnershipPeers {

  /** Returns the other daemons of this data centre, as the settings name them. */
  List<DaemonId> neighbours();

  /**
   * Returns the other daemons of a data centre, as the settings name them.
   *
   * @param wanted the data centre
   */
  List<DaemonId> daemonsOf(DataCentreId wanted);

  /**
   * Returns whether a daemon is in this data centre.
   *
   * @param peer the daemon
   */
  boolean isNeighbour(DaemonId peer);

  /**
   * Returns the data centre of a daemon.
   *
   * @param peer the daemon
   */
  DataCentreId dataCentreOf(DaemonId peer);

  /**
   * Returns what the platform's host list says of the host that a daemon runs on.
   *
   * @param peer the daemon
   */
  HostHint hint(DaemonId peer);

  /**
   * Sends a message to one daemon, if it is connected.
   *
   * @param peer the daemon
   * @param message the message
   */
  void send(DaemonId peer, PeerMessage message);

  /**
   * Sends a change of a table to every daemon of the region, on the connections in both directions:
   * a refusal that follows on one of them must not overtake the change that explains it.
   *
   * @param push the change
   */
  void broadcastTable(PeerMessage.TableDelta push);
}
