package io.sequoiapass.coordination.request;

import java.util.OptionalLong;

/**
 * Decides when a request that has had no token yet gets a second attempt beside the first.
 *
 * <pre>{@code
 * OptionalLong at = policy.hedgeAt(Priority.DEADLINE, Repeatability.REPEATABLE, now, deadline);
 * }</pre>
 *
 * <p>Only repeatable requests whose priority is hedged get one: a hedge of other work could run it
 * twice, and hedges of everything would be load without need. Instances are immutable and safe for
 * use by several threads.
 *
 * @param delayMillis the time to the first token that most requests keep, such as their 95th
 *     percentile; a shorter delay sends hedges that nothing called for
 */
public record HedgePolicy(long delayMillis) {

  /** Checks the delay. */
  public HedgePolicy {
    if (delayMillis <= 0) {
      throw new IllegalArgumentException("delay must be positive: " + delayMillis);
    }
  }

  /**
   * Returns the moment of the hedge, or empty if there is to be none.
   *
   * @param priority the request's priority
   * @param repeatability whether it may run twice
   * @param sentMillis when the first attempt was sent
   * @param deadlineMillis when the answer is due
   */
  public OptionalLong hedgeAt(
      Priority priority, Repeatability repeatability, long sentMillis, long deadlineMillis) {
    long at = sentMillis + delayMillis;
    boolean wanted = priority.hedged() && repeatability.mayRunAgain() && at < deadlineMillis;
    return wanted ? OptionalLong.of(at) : OptionalLong.empty();
  }
}
