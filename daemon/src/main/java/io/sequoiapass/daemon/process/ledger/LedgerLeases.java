package io.sequoiapass.daemon.process.ledger;

import io.sequoiapass.coordination.DaemonId;
import java.util.Collection;
import java.util.Set;

/** Tells how leases stand; safe for use by several threads. */
public interface LedgerLeases {

  /** Returns until when this daemon's own lease surely holds; in the past if it does not. */
  long authorityUntil();

  /**
   * Returns which daemons' leases have surely lapsed, as far as this daemon can judge them.
   *
   * @param daemons the daemons
   * @param knownSince when the membership was first known as it is: a lease that was judged before
   *     then may have been renewed by a daemon that wrote this very membership
   */
  Set<DaemonId> lapsed(Collection<DaemonId> daemons, long knownSince);
}
