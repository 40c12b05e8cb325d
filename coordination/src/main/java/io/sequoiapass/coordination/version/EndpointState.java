package io.sequoiapass.coordination.version;

/** Whether an endpoint takes new work. */
public enum EndpointState {
  /** Takes new work. */
  ACTIVE,
  /** Finishes what it has. */
  LEAVING
}
