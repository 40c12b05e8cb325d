package io.sequoiapass.gateway.request;

/** Records when the events of one response were received. Used under the request's lock. */
final class ResponseTimes {

  private final long arrivedAt;
  private long firstAt;
  private long lastAt;
  private long longestPauseMs;

  /**
   * Creates an instance without events.
   *
   * @param arrivedAt when the request arrived, in milliseconds
   */
  ResponseTimes(long arrivedAt) {
    this.arrivedAt = arrivedAt;
  }

  /** Records an event. */
  void event(long now) {
    if (firstAt == 0) {
      firstAt = now;
    } else {
      longestPauseMs = Math.max(longestPauseMs, now - lastAt);
    }
    lastAt = now;
  }

  /** Returns the times for the log. */
  RequestLog.Times log(long now, WaitTimes waits) {
    return new RequestLog.Times(
        now - arrivedAt, firstAt == 0 ? -1 : firstAt - arrivedAt, longestPauseMs, waits);
  }
}
