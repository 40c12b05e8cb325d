package io.sequoiapass.coordination.process;

/** State that the holder of a lease declares. */
public enum LeaseState {
  /** Accepts endpoints. */
  ACTIVE,
  /** About to stop; accepts no more endpoints. */
  DRAINING
}
