package io.sequoiapass.coordination.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Picks whose turn it is among flows by start-time fair queueing: each flow's share of the work
 * served follows its weight, and one that was idle saves nothing up.
 *
 * <p>Unlike deficit round robin it needs no rounds where one request costs much more than another.
 * Not safe for use by several threads.
 *
 * @param <K> names a flow
 */
final class FairShares<K extends Comparable<K>> {

  /** Idle flows kept before those that owe nothing are forgotten; most adapters are idle. */
  private static final int IDLE_KEPT = 1_024;

  private final Map<K, Double> starts = new HashMap<>();
  private final TreeSet<K> waiting =
      new TreeSet<>(
          Comparator.<K>comparingDouble(flow -> starts.getOrDefault(flow, 0.0))
              .thenComparing(Comparator.naturalOrder()));
  private double virtualTime;

  /** Notes that the flow has work; does nothing if it had some. */
  void activate(K flow) {
    if (starts.containsKey(flow) && waiting.contains(flow)) {
      return;
    }
    starts.merge(flow, virtualTime, Math::max);
    waiting.add(flow);
  }

  /** Notes that the flow has no work left. */
  void deactivate(K flow) {
    waiting.remove(flow);
    if (starts.size() - waiting.size() > IDLE_KEPT) {
      starts.entrySet().removeIf(e -> e.getValue() <= virtualTime && !waiting.contains(e.getKey()));
    }
  }

  /** Returns the flow whose turn it is. */
  Optional<K> next() {
    return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.first());
  }

  /** Charges the flow for work that is served now. */
  void charge(K flow, double cost) {
    boolean waits = waiting.remove(flow);
    double start = Math.max(virtualTime, starts.getOrDefault(flow, virtualTime));
    virtualTime = start;
    starts.put(flow, start + cost);
    if (waits) {
      waiting.add(flow);
    }
  }

  int active() {
    return waiting.size();
  }
}
