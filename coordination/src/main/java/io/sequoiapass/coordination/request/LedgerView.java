package io.sequoiapass.coordination.request;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * Membership of the daemons that keep ledgers, derived from the platform's leases.
 *
 * <p>It must never be derived from the reachability of daemons: both sides of a partition would
 * each select a primary replica. Instances are immutable and safe for use by several threads.
 *
 * @param version increases with each membership change
 * @param members the members
 */
public record LedgerView(long version, Set<LedgerMember> members) {

  /** Copies the members. */
  public LedgerView {
    // Sorted, so that the same events produce the same messages: the order of Set.copyOf differs
    // between processes.
    members = Collections.unmodifiableSet(new TreeSet<>(members));
  }
}
