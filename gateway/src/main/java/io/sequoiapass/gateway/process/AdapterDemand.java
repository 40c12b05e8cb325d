package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.version.AdapterName;
import java.util.HashMap;
import java.util.Map;

/**
 * Exponentially decaying count of the requests for each adapter. Demand moves from adapter to
 * adapter within seconds, so requests from half a minute ago have almost no predictive value.
 *
 * <p>While no slot can be freed, demand of more urgent requests weighs more, so that a burst of
 * less urgent ones does not evict what the urgent ones keep requesting. The usage of a loaded
 * adapter has no priority; that of its load requests is used. Not safe for use by several threads.
 */
final class AdapterDemand {

  /**
   * Time in which a request's weight halves, in milliseconds: long enough to distinguish one
   * request every two seconds from one every ten, short enough to follow demand that moves on
   * within six seconds.
   */
  private static final double HALF_LIFE_MS = 8_000;

  /** Scores below this are removed. */
  private static final double MIN_SCORE = 0.02;

  /** Demand is weighted for this long after a load found no slot, in milliseconds. */
  private static final long SHORTAGE_MS = 1_000;

  /** Ratio of the weights of two successive priorities. */
  private static final double PRIORITY_RATIO = 2;

  /** Weight of a new load request in the averages of weights. */
  private static final double NEW_WEIGHT = 0.25;

  private final Map<AdapterName, Score> scores = new HashMap<>();
  private double meanWeight;
  private long weightedUntil = Long.MIN_VALUE;

  /**
   * The demand for one adapter.
   *
   * @param value the decaying count of requests
   * @param at when it was last updated, in milliseconds
   * @param weight the average weight of its load requests; 0 if there was none
   */
  private record Score(double value, long at, double weight) {

    double at(long now) {
      return value * Math.pow(0.5, (now - at) / HALF_LIFE_MS);
    }
  }

  void record(AdapterName adapter, int times, long now) {
    Score old = scores.get(adapter);
    double weight = old == null ? 0 : old.weight();
    scores.put(adapter, new Score(of(adapter, now) + times, now, weight));
  }

  /** Records a load request. */
  void record(LoadNeed need, long now) {
    double weight = Math.pow(PRIORITY_RATIO, -need.flow().priority());
    record(need.adapter(), 1, now);
    Score score = scores.get(need.adapter());
    double average = average(score.weight(), weight);
    scores.put(need.adapter(), new Score(score.value(), now, average));
    meanWeight = average(meanWeight, weight);
  }

  private static double average(double old, double latest) {
    return old == 0 ? latest : old + NEW_WEIGHT * (latest - old);
  }

  /** Records that no slot could be freed for a load. */
  void noSlot(long now) {
    weightedUntil = now + SHORTAGE_MS;
  }

  /** Returns the demand, weighted by priority if there are too few slots. */
  double weighted(AdapterName adapter, long now) {
    Score score = scores.get(adapter);
    if (score == null || score.weight() == 0 || now > weightedUntil) {
      return of(adapter, now);
    }
    return score.at(now) * score.weight() / meanWeight;
  }

  double of(AdapterName adapter, long now) {
    Score score = scores.get(adapter);
    return score == null ? 0 : score.at(now);
  }

  void removeIdle(long now) {
    scores.values().removeIf(score -> score.at(now) < MIN_SCORE);
  }
}
