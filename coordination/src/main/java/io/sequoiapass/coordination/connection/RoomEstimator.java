package io.sequoiapass.coordination.connection;

import java.util.OptionalInt;

/**
 * Estimates how many requests a second a brittle endpoint has room for, from all daemons together.
 *
 * <p>The load it answers: a brittle endpoint falls over if it has to reject more than a few
 * requests in a second, however many daemons send them. Requests are therefore not sent on a guess:
 * daemons need permits, as for an endpoint that limits its requests. The rate is what its slots can
 * work off, less a margin for requests that arrive unevenly; each rejection shows that the estimate
 * is too high.
 *
 * <p>Not safe for use by several threads.
 */
public final class RoomEstimator {

  /**
   * Largest share of the slots' throughput that is used. Daemons that are cut off from the
   * coordinator use permits of their own in addition to those that it grants.
   */
  private static final double MAX_USED_SHARE = 0.8;

  /**
   * Largest part of the slots that is granted at once. Requests of several daemons that arrive
   * together must fit into the slots that others have left.
   */
  private static final double BURST_SHARE = 1.0 / 3;

  /** Share of the rate that is used after a rejection. */
  private static final double REJECTED_SHARE = 0.25;

  /** How long a rejection lowers the rate, in milliseconds. */
  private static final long REJECTED_MS = 2_000;

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private OptionalInt rejectionsPerS = OptionalInt.empty();
  private long statedAt = NEVER;
  private long rejectedAt = NEVER;

  /**
   * Records what the endpoint states.
   *
   * @param borne the rejections a second that it bears; empty if it is not brittle
   * @param sentAt when the request was sent whose answer states it, in milliseconds; an answer to
   *     an earlier request than the one that showed that it is brittle may be older than that
   * @param now when the answer arrived, in milliseconds
   * @return whether it has become brittle, or is not any more
   */
  public boolean stated(OptionalInt borne, long sentAt, long now) {
    if (isBrittle() == borne.isPresent() || (borne.isEmpty() && sentAt < statedAt)) {
      return false;
    }
    rejectionsPerS = borne;
    statedAt = now;
    return true;
  }

  /** Returns whether the endpoint is brittle. */
  public boolean isBrittle() {
    return rejectionsPerS.isPresent();
  }

  /**
   * Records that the endpoint rejected a request for want of room.
   *
   * @param now the time, in milliseconds
   */
  public void rejected(long now) {
    rejectedAt = now;
  }

  /**
   * Returns the requests a second that the endpoint has room for.
   *
   * @param slots the requests that it runs concurrently
   * @param usualMs the usual time that a request takes a slot, in milliseconds
   * @param now the time, in milliseconds
   */
  public double requestsPerS(int slots, double usualMs, long now) {
    double perS = usedShare(slots) * slots * MILLIS_PER_SECOND / Math.max(1, usualMs);
    return now - rejectedAt < REJECTED_MS ? perS * REJECTED_SHARE : perS;
  }

  /**
   * Returns the largest number of requests to admit at once.
   *
   * @param slots the requests that the endpoint runs concurrently
   */
  public int burst(int slots) {
    return Math.max(1, (int) (BURST_SHARE * slots));
  }

  /** The number of requests in the slots varies by about the root of their mean. */
  private static double usedShare(int slots) {
    return Math.min(MAX_USED_SHARE, 1 - 1 / Math.sqrt(1.0 + slots));
  }
}
