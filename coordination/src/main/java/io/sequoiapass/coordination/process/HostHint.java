package io.sequoiapass.coordination.process;

/**
 * State of a daemon's host in the platform's host list. The list lags, so it shortens timeouts but
 * proves nothing.
 */
public enum HostHint {
  /** Listed as live. */
  LIVE(1),
  /** Listed as leaving; timeouts are halved. */
  LEAVING(2),
  /** Missing from the list; timeouts are halved. */
  ABSENT(2);

  private final int timeoutDivisor;

  HostHint(int timeoutDivisor) {
    this.timeoutDivisor = timeoutDivisor;
  }

  /** Returns the failure timeout for a host with this hint, given the timeout without a hint. */
  long scaleTimeout(long timeoutMillis) {
    return timeoutMillis / timeoutDivisor;
  }
}
