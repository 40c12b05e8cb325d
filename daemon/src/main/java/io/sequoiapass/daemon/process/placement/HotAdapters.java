package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import java.util.HashMap;
import java.util.Map;

/**
 * Set of hot adapters, as reported by their owners in load hints.
 *
 * <pre>{@code
 * hot.update(clock.millis(), hint);
 * router.rank(adapter, 1, hot.contains(clock.millis(), adapter), candidates);
 * }</pre>
 *
 * <p>Owners decide which adapters are hot, not each entry for itself: entries that each see a share
 * of the requests would decide differently, and each difference costs a second load of the adapter.
 * Not safe for use by several threads: one shard calls it under its lock.
 */
public final class HotAdapters {

  private final long keepMs;
  private final Map<AdapterVersion, Long> untilMs = new HashMap<>();

  /**
   * Creates an empty set.
   *
   * @param keepMs how long an adapter stays hot after the last hint that lists it: several
   *     half-lives of demand, since an endpoint that it moved to starts counting at zero
   */
  public HotAdapters(long keepMs) {
    if (keepMs < 1) {
      throw new IllegalArgumentException("keepMs must be at least 1: " + keepMs);
    }
    this.keepMs = keepMs;
  }

  /** Adds the hot adapters of an owner's hint and removes expired ones. */
  public void update(long nowMs, EndpointLoad load) {
    untilMs.values().removeIf(until -> until <= nowMs);
    for (AdapterVersion adapter : load.hot()) {
      untilMs.put(adapter, nowMs + keepMs);
    }
  }

  /** Returns whether a hint within the last {@code keepMs} listed the adapter as hot. */
  public boolean contains(long nowMs, AdapterVersion adapter) {
    return untilMs.getOrDefault(adapter, nowMs) > nowMs;
  }
}
