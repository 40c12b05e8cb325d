package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts requests per adapter version, each worth half as much after each half-life. */
final class DemandTable {

  /** A demand below this is forgotten: ten half-lives after a single request. */
  private static final double FORGOTTEN = 0.001;

  /** Requests a half-life that a silence of one half-life still allows. */
  private static final double SILENCE = 2;

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
    return count == null ? 0 : likely(nowMs, count);
  }

  /** Returns the adapters in demand, most wanted first. */
  List<AdapterVersion> hottest(long nowMs) {
    return counts.keySet().stream()
        .sorted(
            Comparator.comparingDouble((AdapterVersion adapter) -> -of(nowMs, adapter))
                .thenComparing(Comparator.naturalOrder()))
        .toList();
  }

  /** Forgets adapters that nobody asked for in a long time, so that memory follows the demand. */
  void prune(long nowMs) {
    counts.values().removeIf(count -> decayed(nowMs, count) < FORGOTTEN);
  }

  int size() {
    return counts.size();
  }

  /**
   * Returns the demand, at most what so long a silence still allows: an adapter that moved away or
   * fell out of favour would otherwise hold its slot for several half-lives.
   */
  private double likely(long nowMs, Count count) {
    double silenceMs = Math.max(1, nowMs - count.atMs);
    return Math.min(decayed(nowMs, count), SILENCE * halfLifeMs / silenceMs);
  }

  private double decayed(long nowMs, Count count) {
    return count.value * Math.pow(2, -(nowMs - count.atMs) / halfLifeMs);
  }
}
