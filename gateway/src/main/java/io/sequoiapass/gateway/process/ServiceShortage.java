package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Decides which part of its requests each flow of one service may send while one kind of room is
 * short.
 *
 * <p>Answers the load of bursts of a less urgent kind and of single workspaces, also while a
 * quarter of the engines is lost. Not safe for use by several threads.
 */
final class ServiceShortage {

  /** Largest number of workspaces listed for a priority; bounds the message to each daemon. */
  static final int MAX_LISTED = 8;

  /** Share above which a flow counts as not limited. */
  private static final double ALMOST_ALL = 0.98;

  /** Bounds of the advice when to retry, in milliseconds. */
  private static final long MIN_RETRY_MS = 1_000;

  private static final long MAX_RETRY_MS = 5_000;

  private final ShortageDetector detector = new ShortageDetector();

  /**
   * What is admitted during a shortage.
   *
   * @param retryAfterMs when to send refused requests again, in milliseconds
   * @param shares flows that get only a part
   * @param admittedPerS requests per second that are admitted
   */
  record Admission(long retryAfterMs, List<RoomMessage.FlowShare> shares, double admittedPerS) {}

  /**
   * Updates the decision; called for each round of updates.
   *
   * @param pressure the expected wait, relative to what callers can bear
   * @param rates what is asked for and served
   * @param now the time, in milliseconds
   * @return what is admitted; empty if there is no shortage
   */
  Optional<Admission> update(double pressure, FlowDemandTable.Rates rates, long now) {
    if (!detector.update(pressure, now)) {
      return Optional.empty();
    }
    double askedPerS = rates.total();
    double admittedPerS = AdmissionRate.perSecond(askedPerS, rates.served(), pressure);
    double returns = admittedPerS > 0 ? MIN_RETRY_MS * askedPerS / admittedPerS : MAX_RETRY_MS;
    long retryAfterMs = (long) Math.max(MIN_RETRY_MS, Math.min(MAX_RETRY_MS, returns));
    return Optional.of(
        new Admission(retryAfterMs, shares(rates.asked(), admittedPerS), admittedPerS));
  }

  private static List<RoomMessage.FlowShare> shares(Map<Flow, Double> asked, double admittedPerS) {
    SortedMap<Integer, Map<Flow, Double>> byPriority = new TreeMap<>();
    asked.forEach(
        (flow, perS) ->
            byPriority.computeIfAbsent(flow.priority(), any -> new HashMap<>()).put(flow, perS));
    SortedMap<Integer, Double> totals = new TreeMap<>();
    byPriority.forEach(
        (priority, flows) ->
            totals.put(priority, flows.values().stream().mapToDouble(Double::doubleValue).sum()));
    SortedMap<Integer, Double> admitted = PriorityShares.divide(totals, admittedPerS);
    List<RoomMessage.FlowShare> shares = new ArrayList<>();
    byPriority.forEach((priority, flows) -> add(flows, admitted.get(priority), shares));
    return shares;
  }

  /** Adds the flows of one priority that are limited, those that ask for most by themselves. */
  private static void add(
      Map<Flow, Double> flows, double availablePerS, List<RoomMessage.FlowShare> shares) {
    Map<Flow, FairShares.Claim> claims = claims(flows);
    double level = FairShares.level(List.copyOf(claims.values()), availablePerS);
    List<Flow> limited =
        claims.keySet().stream()
            .filter(flow -> claims.get(flow).share(level) < ALMOST_ALL)
            .sorted(Comparator.comparingDouble((Flow flow) -> claims.get(flow).share(level)))
            .toList();
    List<Flow> listed =
        limited.stream().filter(flow -> flow.workspace().isPresent()).limit(MAX_LISTED).toList();
    listed.forEach(
        flow -> shares.add(new RoomMessage.FlowShare(flow, claims.get(flow).share(level))));
    if (listed.size() < limited.size()) {
      claims.keySet().removeAll(listed);
      double askedPerS = 0;
      double givenPerS = 0;
      for (FairShares.Claim claim : claims.values()) {
        askedPerS += claim.askedPerS();
        givenPerS += claim.askedPerS() * claim.share(level);
      }
      Flow others = Flow.of(limited.get(0).priority(), Optional.empty());
      shares.add(new RoomMessage.FlowShare(others, givenPerS / askedPerS));
    }
  }

  /** A flow without a workspace stands for several workspaces, taken as large as the others. */
  private static Map<Flow, FairShares.Claim> claims(Map<Flow, Double> flows) {
    double[] each =
        flows.entrySet().stream()
            .filter(entry -> entry.getKey().workspace().isPresent())
            .mapToDouble(Map.Entry::getValue)
            .sorted()
            .toArray();
    double usualPerS = each.length == 0 ? 0 : each[each.length / 2];
    Map<Flow, FairShares.Claim> claims = new HashMap<>();
    flows.forEach(
        (flow, perS) -> {
          boolean isOne = flow.workspace().isPresent() || usualPerS <= 0;
          claims.put(flow, new FairShares.Claim(perS, isOne ? 1 : Math.max(1, perS / usualPerS)));
        });
    return claims;
  }
}
