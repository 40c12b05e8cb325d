package io.sequoiapass.daemon.process.ledger;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.daemon.connection.peer.PeerMessage;

/** Sends ledger messages to other daemons; safe for use by several threads. */
@FunctionalInterface
public interface LedgerPeers {

  /**
   * Sends a message to one daemon, if it is connected.
   *
   * @param peer the daemon
   * @param message the message
   */
  void send(DaemonId peer, PeerMessage message);
}
