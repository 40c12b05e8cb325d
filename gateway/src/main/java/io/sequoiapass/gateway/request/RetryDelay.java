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

  /** Delays are spread from half of the stated time to this multiple of it. */
  private static final double LATEST = 2;

  private static final double EARLIEST = 0.5;

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
   * Returns a delay, in milliseconds.
   *
   * @param roomInMs time until there is room, in milliseconds
   * @param priority the request's priority
   * @param remainingMs time until the caller's deadline, in milliseconds
   * @param random a random number from 0 to 1
   */
  static long spread(long roomInMs, int priority, long remainingMs, double random) {
    double longestMs = Math.max(0, remainingMs) / (double) MAX_SHARE_OF_REMAINING;
    double baseMs = Math.min((double) Math.max(0, roomInMs), longestMs / LATEST);
    double urgencyPart = EARLIEST * priority / Flow.LAST_PRIORITY;
    return (long) (baseMs * (EARLIEST + urgencyPart + random));
  }
}
