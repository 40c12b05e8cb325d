package io.sequoiapass.daemon.process.ledger;

import io.sequoiapass.coordination.DaemonId;
import java.util.Collection;
import java.util.Set;

/** State of the daemons' leases; safe for use by several threads. */
public interface LedgerLeases {

  /** Returns until when this daemon's own lease is certainly valid; in the past if it is not. */
  long authorityUntil();

  /**
   * Returns the daemons whose leases have certainly expired, as far as this daemon can determine.
   *
   * @param daemons the daemons
   * @param knownSince when this daemon received the current membership: a lease that was found
   *     expired before then may have been renewed by a daemon that wrote this membership
   */
  Set<DaemonId> expired(Collection<DaemonId> daemons, long knownSince);
}
