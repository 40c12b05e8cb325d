package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.version.AdapterName;
import java.util.HashMap;
import java.util.Map;

/**
 * Exponentially decaying count of the requests for each adapter. Demand moves from adapter to
 * adapter within seconds, so requests from half a minute ago have almost no predictive value. Not
 * safe for use by several threads.
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

  private final Map<AdapterName, Score> scores = new HashMap<>();

  private record Score(double value, long at) {

    double at(long now) {
      return value * Math.pow(0.5, (now - at) / HALF_LIFE_MS);
    }
  }

  void record(AdapterName adapter, int times, long now) {
    scores.put(adapter, new Score(of(adapter, now) + times, now));
  }

  double of(AdapterName adapter, long now) {
    Score score = scores.get(adapter);
    return score == null ? 0 : score.at(now);
  }

  void removeIdle(long now) {
    scores.values().removeIf(score -> score.at(now) < MIN_SCORE);
  }
}
