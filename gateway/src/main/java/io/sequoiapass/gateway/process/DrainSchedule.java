package io.sequoiapass.gateway.process;

/**
 * Decides which requests a stopping process still takes.
 *
 * <p>A request that would be cut off by the process's end is refused at once: its caller finds
 * another daemon right away, in place of half an answer seconds later.
 *
 * @param takesAllUntil until then the load balancer still sends callers here, so all are taken; in
 *     milliseconds of the monotonic clock
 * @param endsAt when the process ends
 */
record DrainSchedule(long takesAllUntil, long endsAt) {

  /** No stop is planned. */
  static final DrainSchedule NEVER = new DrainSchedule(Long.MAX_VALUE, Long.MAX_VALUE);

  boolean takes(long timeoutMs, long now) {
    return now < takesAllUntil || now + timeoutMs <= endsAt;
  }
}
