package io.sequoiapass.gateway.process;

/**
 * Decides which requests a stopping process still accepts.
 *
 * <p>A request that cannot end before the process is refused immediately, so that its caller can
 * use another daemon instead of receiving a truncated response seconds later.
 *
 * @param acceptsAllUntil until then all requests are accepted, since the load balancer still sends
 *     them here; in milliseconds of the monotonic clock
 * @param endsAt until when answers are sent, in milliseconds of the monotonic clock
 */
record DrainSchedule(long acceptsAllUntil, long endsAt) {

  /** No stop is planned. */
  static final DrainSchedule NEVER = new DrainSchedule(Long.MAX_VALUE, Long.MAX_VALUE);

  /** The stop is over: nothing is accepted or sent any more. */
  static final DrainSchedule OVER = new DrainSchedule(Long.MIN_VALUE, Long.MIN_VALUE);

  /** Returns whether a request that is sent at a time ends before the process. */
  boolean endsInTime(long durationMs, long sentAt) {
    return sentAt + durationMs <= endsAt;
  }

  /** Returns whether a request that arrives now and takes a time is accepted. */
  boolean accepts(long durationMs, long now) {
    return now < acceptsAllUntil || endsInTime(durationMs, now);
  }
}
