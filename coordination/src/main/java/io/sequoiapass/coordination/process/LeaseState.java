package io.sequoiapass.coordination.process;

/** What a lease's holder says of itself. */
public enum LeaseState {
  /** Takes endpoints. */
  ACTIVE,
  /** About to stop: takes no more endpoints. */
  DRAINING
}
