package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import java.util.List;

/**
 * Where a request is to be served while demand for a data centre is shared out.
 *
 * @param natural the data centre that it belongs to
 * @param place the data centre that is to serve it; the natural one unless it is in a share
 */
record SpillRoute(DataCentreId natural, DataCentreId place) {

  /** Least penalty for a data centre that is not in the plan, in milliseconds. */
  private static final double OFF_PLAN_MS = 60;

  /**
   * The same in mean times of a call. By reports that are half a second old, endpoints seem to
   * differ by up to two and a half.
   */
  private static final double OFF_PLAN_CALLS = 3;

  /** Returns whether any candidate is in the place. */
  boolean isServed(List<Candidate> candidates) {
    return candidates.stream().anyMatch(one -> one.dataCentre().equals(place));
  }

  /**
   * Returns candidates whose crossing costs what the plan wants.
   *
   * @param candidates the candidates
   * @param callMs the mean time of a plain call, in milliseconds; 0 for a generation
   */
  List<Candidate> weigh(List<Candidate> candidates, double callMs) {
    double offPlanMs = Math.max(OFF_PLAN_MS, callMs * OFF_PLAN_CALLS);
    return candidates.stream().map(one -> one.withCrossing(crossingMs(one, offPlanMs))).toList();
  }

  private double crossingMs(Candidate candidate, double offPlanMs) {
    boolean isSpilled = !place.equals(natural);
    if (candidate.dataCentre().equals(place)) {
      return isSpilled ? 0 : candidate.crossingMs();
    }
    boolean isOther = !candidate.dataCentre().equals(natural);
    return candidate.near() && isOther ? 0 : offPlanMs;
  }
}
