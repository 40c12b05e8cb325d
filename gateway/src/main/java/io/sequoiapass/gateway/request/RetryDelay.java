package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.Flow;
import java.util.EnumSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Chooses when a caller that is refused for want of room may retry.
 *
 * <p>Answers a load in which many callers are refused within a second: they are spread over the
 * time until there is room, and the more urgent ones return earlier.
 */
final class RetryDelay {

  /** Callers honour at most this part of the time that they have left. */
  private static final int MAX_SHARE_OF_REMAINING = 3;

  /** The least urgent priority returns later by this part of the stated time. */
  private static final double URGENCY_SPREAD = 0.5;

  /** Delays are spread over this part of the stated time. */
  private static final double RANDOM_SPREAD = 0.5;

  private static final Set<ErrorKind> WANT_OF_ROOM =
      EnumSet.of(ErrorKind.OVERLOADED, ErrorKind.DEADLINE_UNREACHABLE);

  private RetryDelay() {}

  /**
   * Returns the delay for a refused caller, in milliseconds.
   *
   * @param refusal the refusal, with the time until there is room
   * @param flow the request's priority and workspace
   * @param remainingMs time until the caller's deadline, in milliseconds
   */
  static OptionalLong of(StreamBinding.Refusal refusal, Flow flow, long remainingMs) {
    if (refusal.retryAfterMs().isEmpty() || !WANT_OF_ROOM.contains(refusal.kind())) {
      return refusal.retryAfterMs();
    }
    double random = ThreadLocalRandom.current().nextDouble();
    return OptionalLong.of(
        spread(refusal.retryAfterMs().getAsLong(), flow.priority(), remainingMs, random));
  }

  /**
   * Returns a delay, in milliseconds. It is not shorter than the time until there is room; a time
   * that is longer than callers honour is stated as it is.
   *
   * @param roomInMs time until there is room, in milliseconds
   * @param priority the request's priority
   * @param remainingMs time until the caller's deadline, in milliseconds
   * @param random a random number from 0 to 1
   */
  static long spread(long roomInMs, int priority, long remainingMs, double random) {
    long longestMs = Math.max(0, remainingMs) / MAX_SHARE_OF_REMAINING;
    if (roomInMs > longestMs) {
      return roomInMs;
    }
    double urgencyPart = URGENCY_SPREAD * priority / Flow.LAST_PRIORITY;
    double spread = roomInMs * (1 + urgencyPart + RANDOM_SPREAD * random);
    return Math.max(0, Math.min(longestMs, (long) spread));
  }
}
