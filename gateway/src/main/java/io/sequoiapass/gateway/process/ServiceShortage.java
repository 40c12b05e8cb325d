package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.connection.RoomMessage;
import java.util.ArrayList;
import java.util.Comparator;
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
    SortedMap<Integer, SortedMap<Flow, Double>> byPriority = new TreeMap<>();
    WorkspaceBounds.within(asked, admittedPerS)
        .forEach(
            (flow, perS) ->
                byPriority
                    .computeIfAbsent(flow.priority(), any -> new TreeMap<>())
                    .put(flow, perS));
    SortedMap<Integer, Double> totals = new TreeMap<>();
    byPriority.forEach(
        (priority, flows) ->
            totals.put(priority, flows.values().stream().mapToDouble(Double::doubleValue).sum()));
    SortedMap<Integer, Double> admitted = PriorityShares.divide(totals, admittedPerS);
    List<RoomMessage.FlowShare> shares = new ArrayList<>();
    byPriority.forEach(
        (priority, flows) -> add(asked, parts(asked, flows, admitted.get(priority)), shares));
    return shares;
  }

  /** Returns the part of its requests that each flow of one priority may send. */
  private static Map<Flow, Double> parts(
      Map<Flow, Double> asked, Map<Flow, Double> bounded, double availablePerS) {
    SortedMap<Flow, FairShares.Claim> claims = FairShares.claims(bounded);
    double level = FairShares.level(List.copyOf(claims.values()), availablePerS);
    Map<Flow, Double> parts = new TreeMap<>();
    claims.forEach(
        (flow, claim) -> {
          double askedPerS = asked.get(flow);
          double givenPerS = claim.askedPerS() * claim.share(level);
          parts.put(flow, askedPerS <= 0 ? 1 : givenPerS / askedPerS);
        });
    return parts;
  }

  /** Adds the flows of one priority that are limited, those that get the least by themselves. */
  private static void add(
      Map<Flow, Double> asked, Map<Flow, Double> parts, List<RoomMessage.FlowShare> shares) {
    List<Flow> limited =
        parts.keySet().stream()
            .filter(flow -> parts.get(flow) < ALMOST_ALL)
            .sorted(Comparator.comparing(parts::get))
            .toList();
    List<Flow> listed =
        limited.stream().filter(flow -> flow.workspace().isPresent()).limit(MAX_LISTED).toList();
    listed.forEach(flow -> shares.add(new RoomMessage.FlowShare(flow, parts.get(flow))));
    if (listed.size() < limited.size()) {
      parts.keySet().removeAll(listed);
      double askedPerS = 0;
      double givenPerS = 0;
      for (var entry : parts.entrySet()) {
        askedPerS += asked.get(entry.getKey());
        givenPerS += asked.get(entry.getKey()) * entry.getValue();
      }
      Flow others = Flow.of(limited.get(0).priority(), Optional.empty());
      shares.add(new RoomMessage.FlowShare(others, givenPerS / askedPerS));
    }
  }
}
