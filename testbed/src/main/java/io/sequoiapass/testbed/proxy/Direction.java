package io.sequoiapass.testbed.proxy;

/** Names which way bytes go through the proxy. */
public enum Direction {
  /** From whoever connected to the target. */
  TO_TARGET,
  /** From the target back. */
  FROM_TARGET
}
