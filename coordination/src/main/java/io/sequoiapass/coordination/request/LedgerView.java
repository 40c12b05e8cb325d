package io.sequoiapass.coordination.request;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * Is the membership of the daemons that keep ledgers, as the platform's leases tell it.
 *
 * <p>It must never come from whom a daemon can reach: two sides of a cut would each name a home of
 * their own. Instances are immutable and safe for use by several threads.
 *
 * @param version grows with each membership
 * @param members the members
 */
public record LedgerView(long version, Set<LedgerMember> members) {

  /** Copies the members. */
  public LedgerView {
    // In order, so that the same events make the same messages: Set.copyOf shuffles in each
    // process.
    members = Collections.unmodifiableSet(new TreeSet<>(members));
  }
}
