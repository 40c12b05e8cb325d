package io.sequoiapass.coordination.version;

/** Whether an endpoint accepts new work. */
public enum EndpointState {
  /** Accepts new work. */
  ACTIVE,
  /** Completes running work and accepts no new work. */
  LEAVING
}
