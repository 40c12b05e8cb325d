package io.sequoiapass.daemon.version;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import java.util.List;

/** Sends messages to the other daemons of the data centre. Safe for use by several threads. */
public interface ConfigurationPeers {

  /** Returns the other daemons of the data centre, as listed in the settings. */
  List<DaemonId> neighbours();

  /**
   * Sends a message to every daemon of the data centre.
   *
   * @param message the message
   */
  void broadcast(PeerMessage message);

  /**
   * Sends a message to one daemon; drops it if the daemon is not connected.
   *
   * @param peer the daemon
   * @param message the message
   */
  void send(DaemonId peer, PeerMessage message);
}
