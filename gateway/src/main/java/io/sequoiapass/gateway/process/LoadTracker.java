package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks adapter loads at the engines of one coordinator: when each is expected, whether it had
 * arrived by then, and the resulting estimates for later loads.
 *
 * <p>Not safe for use by several threads.
 */
final class LoadTracker {

  /**
   * Interval between checks of a replacement, which waits for the running requests, in
   * milliseconds.
   */
  private static final long REPLACEMENT_CHECK_MS = 50;

  /** Smallest change of an expected arrival that is published, in milliseconds. */
  private static final long PUBLISH_THRESHOLD_MS = 20;

  private final LoadTime time;
  private final Map<ServiceId, AdapterCacheDepthEstimator> cacheDepths = new TreeMap<>();

  LoadTracker(LoadTime time) {
    this.time = time;
  }

  /** Returns the expected time of a load from the store that begins now, in milliseconds. */
  long storeMs(long now) {
    return time.storeMs(now);
  }

  /** Returns the expected time of a load that is planned now, in milliseconds. */
  long plannedMs(boolean fromMemory, long now) {
    return fromMemory ? time.memoryMs() : time.storeMs(now);
  }

  /** Returns the cache depth estimator for the engines of a service. */
  AdapterCacheDepthEstimator depthOf(ServiceId service, int slots) {
    return cacheDepths.computeIfAbsent(service, any -> new AdapterCacheDepthEstimator(slots));
  }

  /** Records that an engine has accepted the order for a load. */
  void begin(PlannedEndpoint endpoint, AdapterName name, PlannedEndpoint.Copy copy, long now) {
    if (copy.replaces) {
      // It waits for requests that use the older version, so it is no sample of the load time.
      copy.readyAt = now + time.storeMs(now);
      return;
    }
    boolean fromMemory = endpoint.cachedAdapters.isCached(name);
    int concurrentLoads = time.concurrentLoads(now);
    long expectedMs = fromMemory ? time.nextMemoryMs() : time.nextStoreMs(concurrentLoads);
    int depth = fromMemory ? endpoint.cachedAdapters.depth(name) : 0;
    copy.readyAt = now + expectedMs;
    copy.load = new LoadInProgress(now, concurrentLoads, fromMemory, depth, expectedMs);
  }

  /** Handles a request that was refused because an expected adapter was not loaded yet. */
  void refusedEarly(PlannedEndpoint endpoint, PlannedEndpoint.Copy copy, long now) {
    // Several daemons may have sent requests at the same time; only the first refusal counts.
    if (now >= copy.readyAt) {
      copy.readyAt = now + remainingMs(endpoint, copy, now);
    }
  }

  private long remainingMs(PlannedEndpoint endpoint, PlannedEndpoint.Copy copy, long now) {
    if (copy.state == PlannedEndpoint.State.PLANNED) {
      return time.storeMs(now);
    }
    return copy.load == null
        ? REPLACEMENT_CHECK_MS
        : copy.load.refused(time, cacheDepths.get(endpoint.entry.service()), now);
  }

  /**
   * Updates the expected arrival of a copy, or the estimates once its outcome is known.
   *
   * @return whether the expected arrival has changed enough to be published
   */
  boolean advance(PlannedEndpoint endpoint, PlannedEndpoint.Copy copy, long now) {
    if (copy.load == null) {
      return false;
    }
    if (copy.load.settle(time, cacheDepths.get(endpoint.entry.service()), copy.readyAt, now)) {
      copy.load = null;
      return false;
    }
    boolean loading = copy.load.isFromStore() && copy.readyAt > now;
    if (!loading) {
      return false;
    }
    long expected = now + copy.load.advance(time, now);
    boolean moved =
        expected > now && Math.abs(expected - copy.publishedReadyAt) > PUBLISH_THRESHOLD_MS;
    if (moved) {
      copy.readyAt = expected;
    }
    return moved;
  }

  /** Returns the current estimates, for daemons that choose among data centres. */
  LoadTimeEstimates loadTimes(long now) {
    int cacheDepth =
        cacheDepths.values().stream().mapToInt(AdapterCacheDepthEstimator::reach).max().orElse(0);
    return new LoadTimeEstimates(time.storeMs(now), time.memoryMs(), cacheDepth);
  }
}
