package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import java.util.Optional;

/** Looks up open connections to daemons, including this one; safe for use by several threads. */
@FunctionalInterface
public interface Channels {

  /**
   * Returns the connection to a daemon, if it is open.
   *
   * @param daemon the daemon
   */
  Optional<PeerChannel> to(DaemonId daemon);
}
