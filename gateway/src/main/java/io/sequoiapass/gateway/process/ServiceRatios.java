package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.request.Flow;

/**
 * Counts how many of the recent loads of each priority got a slot, and how many were rejected.
 *
 * <p>Answers a load in which the more urgent loads alone need more slots than there are, so that a
 * strict order would refuse the less urgent ones altogether, or in which late loads of an urgent
 * priority would wait behind every less urgent load in time. Memory is one counter for each
 * priority. Not safe for use by several threads.
 */
final class ServiceRatios {

  /** Time in which an outcome's weight halves, in milliseconds: a deadline of an urgent caller. */
  private static final double HALF_LIFE_MS = 5_000;

  /** Fewer outcomes than this prove nothing. */
  private static final double MIN_OUTCOMES = 4;

  /** Largest difference by which a more urgent priority may be served less often. */
  private static final double MAX_LAG = 0.02;

  /** Least part of the mean ratio that each priority gets. */
  private static final double FLOOR = 0.4;

  private static final int PRIORITIES = Flow.LAST_PRIORITY + 1;

  private final double[] assigned = new double[PRIORITIES];
  private final double[] rejected = new double[PRIORITIES];
  private long decayedAt;

  /** Records a load that got a slot. */
  void assigned(Flow flow, long now) {
    decay(now);
    assigned[flow.priority()]++;
  }

  /** Records a load that was rejected. */
  void rejected(Flow flow, long now) {
    decay(now);
    rejected[flow.priority()]++;
  }

  /** Returns whether a priority is served less often than a less urgent one. */
  boolean isBehind(int priority, long now) {
    decay(now);
    double own = ratio(priority);
    for (int other = priority + 1; other < PRIORITIES; other++) {
      if (isProved(other) && own + MAX_LAG < ratio(other)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a priority is served so much less often than all together that it starves. */
  boolean isStarving(int priority, long now) {
    decay(now);
    double allAssigned = 0;
    double all = 0;
    for (int each = 0; each < PRIORITIES; each++) {
      allAssigned += assigned[each];
      all += outcomes(each);
    }
    return isProved(priority) && ratio(priority) < FLOOR * allAssigned / all;
  }

  private boolean isProved(int priority) {
    return outcomes(priority) >= MIN_OUTCOMES;
  }

  private double outcomes(int priority) {
    return assigned[priority] + rejected[priority];
  }

  private double ratio(int priority) {
    return isProved(priority) ? assigned[priority] / outcomes(priority) : 1;
  }

  private void decay(long now) {
    if (now <= decayedAt) {
      return;
    }
    double factor = Math.pow(0.5, (now - decayedAt) / HALF_LIFE_MS);
    for (int priority = 0; priority < PRIORITIES; priority++) {
      assigned[priority] *= factor;
      rejected[priority] *= factor;
    }
    decayedAt = now;
  }
}
