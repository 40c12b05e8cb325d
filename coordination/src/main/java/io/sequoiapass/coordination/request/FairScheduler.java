package io.sequoiapass.coordination.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Start-time fair queueing: selects the next flow so that each flow's share of the served work
 * follows its weight; an idle flow accumulates no credit.
 *
 * <p>Unlike deficit round robin it needs no rounds when the costs of requests differ widely. Not
 * safe for use by several threads.
 *
 * @param <K> identifies a flow
 */
final class FairScheduler<K extends Comparable<K>> {

  /**
   * Idle flows kept before those without outstanding charges are removed; most adapters are idle.
   */
  private static final int MAX_IDLE_FLOWS = 1_024;

  private final Map<K, Double> startTags = new HashMap<>();
  private final TreeSet<K> waiting =
      new TreeSet<>(
          Comparator.<K>comparingDouble(flow -> startTags.getOrDefault(flow, 0.0))
              .thenComparing(Comparator.naturalOrder()));
  private double virtualTime;

  /** Marks a flow as having waiting work; no effect if it is already marked. */
  void activate(K flow) {
    if (startTags.containsKey(flow) && waiting.contains(flow)) {
      return;
    }
    startTags.merge(flow, virtualTime, Math::max);
    waiting.add(flow);
  }

  /** Marks a flow as having no waiting work. */
  void deactivate(K flow) {
    waiting.remove(flow);
    if (startTags.size() - waiting.size() > MAX_IDLE_FLOWS) {
      startTags
          .entrySet()
          .removeIf(e -> e.getValue() <= virtualTime && !waiting.contains(e.getKey()));
    }
  }

  /** Returns the flow to serve next. */
  Optional<K> next() {
    return waiting.isEmpty() ? Optional.empty() : Optional.of(waiting.first());
  }

  /** Charges a flow for work that is being served. */
  void charge(K flow, double cost) {
    boolean wasWaiting = waiting.remove(flow);
    double startTag = Math.max(virtualTime, startTags.getOrDefault(flow, virtualTime));
    virtualTime = startTag;
    startTags.put(flow, startTag + cost);
    if (wasWaiting) {
      waiting.add(flow);
    }
  }

  int active() {
    return waiting.size();
  }
}
