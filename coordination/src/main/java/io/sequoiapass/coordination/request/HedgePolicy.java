package io.sequoiapass.coordination.request;

import java.util.OptionalLong;

/**
 * Policy for hedged requests: when a request without a first token gets a second, concurrent
 * attempt.
 *
 * <pre>{@code
 * OptionalLong at = policy.hedgeAt(Priority.DEADLINE, Repeatability.REPEATABLE, now, deadline);
 * }</pre>
 *
 * <p>Only repeatable requests of a hedged priority are hedged: a hedge of other work could run it
 * twice, and hedging every request would add needless load. Instances are immutable and safe for
 * use by several threads.
 *
 * @param delayMillis delay in milliseconds within which most requests have their first token, such
 *     as the 95th percentile; a shorter delay sends unnecessary hedges
 */
public record HedgePolicy(long delayMillis) {

  /** Validates the delay. */
  public HedgePolicy {
    if (delayMillis <= 0) {
      throw new IllegalArgumentException("delay must be positive: " + delayMillis);
    }
  }

  /**
   * Returns the time at which to send the hedge, or empty if the request is not hedged.
   *
   * @param priority the request's priority
   * @param repeatability whether it may run twice
   * @param sentMillis when the first attempt was sent
   * @param deadlineMillis when the answer is due
   */
  public OptionalLong hedgeAt(
      Priority priority, Repeatability repeatability, long sentMillis, long deadlineMillis) {
    long at = sentMillis + delayMillis;
    boolean hedged = priority.hedged() && repeatability.mayRunAgain() && at < deadlineMillis;
    return hedged ? OptionalLong.of(at) : OptionalLong.empty();
  }
}
