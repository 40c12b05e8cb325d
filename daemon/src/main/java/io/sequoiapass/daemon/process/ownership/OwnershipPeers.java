package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.HostHint;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import java.util.List;

/**
 * Directory of the other daemons, and sender of messages to them. Safe for use by several threads.
 */
public interface OwnershipPeers {

  /** Returns the other daemons of this data centre, as listed in the settings. */
  List<DaemonId> neighbours();

  /**
   * Returns the other daemons of a data centre, as listed in the settings.
   *
   * @param dataCentre the data centre
   */
  List<DaemonId> daemonsOf(DataCentreId dataCentre);

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
   * Returns the state, in the platform's host list, of the host on which a daemon runs.
   *
   * @param peer the daemon
   */
  HostHint hint(DaemonId peer);

  /**
   * Sends a message to one daemon; drops it if the daemon is not connected.
   *
   * @param peer the daemon
   * @param message the message
   */
  void send(DaemonId peer, PeerMessage message);

  /**
   * Sends a change of a table to every daemon of the region over the connections in both
   * directions, so that a refusal sent later on one of them cannot arrive before the change that
   * explains it.
   *
   * @param push the change
   */
  void broadcastTable(PeerMessage.TableDelta push);
}
