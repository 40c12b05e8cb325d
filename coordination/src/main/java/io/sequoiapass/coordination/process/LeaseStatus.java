package io.sequoiapass.coordination.process;

/** Status of a daemon's own lease. */
public enum LeaseStatus {
  /** Not acquired yet, or released. */
  NOT_HELD,
  /** First lease of a process whose predecessor with the same daemon name may still send orders. */
  STARTING,
  /** Held, with more time remaining than the margin. */
  VALID,
  /** Expired; or renewed after expiry, without a newer ownership table since. */
  LAPSED,
  /**
   * Expired, while every daemon of the data centre reports that it cannot reach the platform and so
   * cannot take over.
   */
  LAPSED_FOR_ALL,
  /** Held by a newer process with the same daemon name; this process must stop. */
  SUPERSEDED
}
