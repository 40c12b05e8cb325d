package io.sequoiapass.testbed.proxy;

/** Direction of traffic through the proxy. */
public enum Direction {
  /** From the client to the target. */
  TO_TARGET,
  /** From the target to the client. */
  FROM_TARGET
}
