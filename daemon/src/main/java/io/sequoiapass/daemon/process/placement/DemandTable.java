package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Request count per adapter version with exponential decay: each request counts half after each
 * half-life.
 */
final class DemandTable {

  /** Demand below which an adapter is removed: reached ten half-lives after a single request. */
  private static final double MIN_DEMAND = 0.001;

  /**
   * Cap on the demand of an adapter without requests for one half-life, in requests per half-life.
   */
  private static final double IDLE_DEMAND_CAP = 2;

  private static final class Count {
    double value;
    long atMs;
  }

  private final double halfLifeMs;
  private final Map<AdapterVersion, Count> counts = new HashMap<>();

  DemandTable(long halfLifeMs) {
    this.halfLifeMs = halfLifeMs;
  }

  void add(long nowMs, AdapterVersion adapter) {
    Count count = counts.computeIfAbsent(adapter, a -> new Count());
    count.value = decayed(nowMs, count) + 1;
    count.atMs = nowMs;
  }

  double of(long nowMs, AdapterVersion adapter) {
    Count count = counts.get(adapter);
    return count == null ? 0 : capped(nowMs, count);
  }

  /** Returns the adapters in demand, highest demand first. */
  List<AdapterVersion> hottest(long nowMs) {
    return counts.keySet().stream()
        .sorted(
            Comparator.comparingDouble((AdapterVersion adapter) -> -of(nowMs, adapter))
                .thenComparing(Comparator.naturalOrder()))
        .toList();
  }

  /** Removes adapters without recent requests, so that memory use follows the demand. */
  void prune(long nowMs) {
    counts.values().removeIf(count -> decayed(nowMs, count) < MIN_DEMAND);
  }

  int size() {
    return counts.size();
  }

  /**
   * Returns the demand, capped in inverse proportion to the time since the last request. Without
   * the cap an adapter that moved away or lost its callers would hold its slot for several
   * half-lives.
   */
  private double capped(long nowMs, Count count) {
    double idleMs = Math.max(1, nowMs - count.atMs);
    return Math.min(decayed(nowMs, count), IDLE_DEMAND_CAP * halfLifeMs / idleMs);
  }

  private double decayed(long nowMs, Count count) {
    return count.value * Math.pow(2, -(nowMs - count.atMs) / halfLifeMs);
  }
}
