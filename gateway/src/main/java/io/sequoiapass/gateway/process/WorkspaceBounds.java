package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.request.Flow;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Bounds what a workspace that is much larger than most can send of all priorities together.
 *
 * <p>Answers the load of a workspace that sends several times its usual of every kind: without it,
 * its urgent requests displace the less urgent ones of the others. What it may send is divided
 * among its own priorities. Other workspaces are not bounded, so that urgent requests go first. The
 * methods are pure.
 */
final class WorkspaceBounds {

  /** Size relative to the median workspace up to which none is bounded. */
  private static final double LARGE = 3;

  private WorkspaceBounds() {}

  /**
   * Returns the requests per second of each flow that lie within the bounds.
   *
   * @param asked requests per second by flow
   * @param admittedPerS requests per second that can be admitted
   */
  static SortedMap<Flow, Double> within(Map<Flow, Double> asked, double admittedPerS) {
    SortedMap<Flow, SortedMap<Integer, Double>> workspaces = new TreeMap<>();
    SortedMap<Flow, Double> totals = new TreeMap<>();
    asked.forEach(
        (flow, perS) -> {
          Flow all = ofAllPriorities(flow);
          workspaces.computeIfAbsent(all, any -> new TreeMap<>()).put(flow.priority(), perS);
          totals.merge(all, perS, Double::sum);
        });
    Map<Flow, FairShares.Claim> claims = FairShares.claims(totals);
    double level = FairShares.level(List.copyOf(claims.values()), admittedPerS);
    double largePerS = LARGE * FairShares.medianPerS(totals);
    SortedMap<Flow, Double> within = new TreeMap<>();
    workspaces.forEach(
        (workspace, priorities) -> {
          double askedPerS = totals.get(workspace);
          boolean isLarge = workspace.workspace().isPresent() && askedPerS > largePerS;
          double share = isLarge ? claims.get(workspace).share(level) : 1;
          PriorityShares.divide(priorities, share * askedPerS)
              .forEach(
                  (priority, perS) -> within.put(Flow.of(priority, workspace.workspace()), perS));
        });
    return within;
  }

  private static Flow ofAllPriorities(Flow flow) {
    return Flow.of(0, flow.workspace());
  }
}
