package io.sequoiapass.coordination.process;

/** How a daemon's own lease stands at one moment. */
public enum LeaseStanding {
  /** No lease yet, or given back. */
  NOT_HELD,
  /** The first lease of a process whose predecessor under the name may still act. */
  STARTING,
  /** Held, with time left beyond the margin. */
  VALID,
  /** Ran out, or renewed after it ran out without a newer ownership table since. */
  LAPSED,
  /** Ran out, while every daemon of the data centre shows that it cannot take over either. */
  LAPSED_FOR_ALL,
  /** A newer process holds the lease under the same name: this one must stop. */
  SUPERSEDED
}
