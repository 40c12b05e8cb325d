package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells an entry which adapters are hot, by what their owners say in their load hints.
 *
 * <pre>{@code
 * hot.learn(clock.millis(), hint);
 * router.rank(adapter, 1, hot.contains(clock.millis(), adapter), candidates);
 * }</pre>
 *
 * <p>Owners say it and not each entry for itself: entries that see a share of the requests each
 * come to different verdicts, and each difference costs a second load of the adapter. Not safe for
 * use by several threads: one shard calls it under its lock.
 */
public final class HotAdapters {

  private final long keepMs;
  private final Map<AdapterVersion, Long> untilMs = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param keepMs how long an adapter stays hot after the last hint that says so: several
   *     half-lives of demand, since an endpoint that it moved to counts it from nothing
   */
  public HotAdapters(long keepMs) {
    if (keepMs < 1) {
      throw new IllegalArgumentException("keepMs must be at least 1: " + keepMs);
    }
    this.keepMs = keepMs;
  }

  /** Learns from an owner's hint. */
  public void learn(long nowMs, EndpointLoad load) {
    untilMs.values().removeIf(until -> until <= nowMs);
    for (AdapterVersion adapter : load.hot()) {
      untilMs.put(adapter, nowMs + keepMs);
    }
  }

  /** Tells whether an owner called the adapter hot not long ago. */
  public boolean contains(long nowMs, AdapterVersion adapter) {
    return untilMs.getOrDefault(adapter, nowMs) > nowMs;
  }
}
