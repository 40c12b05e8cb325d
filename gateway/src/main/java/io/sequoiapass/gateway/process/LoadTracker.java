package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.Map;
import java.util.TreeMap;

/**
 * Follows the loads of adapters of one coordinator's engines: when each is expected, whether it was
 * there then, and what that teaches about the next ones.
 *
 * <p>Not safe for use by several threads.
 */
final class LoadTracker {

  /** A replacement waits for its runs and is looked for again after this time, in milliseconds. */
  private static final long REPLACED_AGAIN_MS = 50;

  /** An arrival that moved by less is not reported, in milliseconds. */
  private static final long PUBLISH_THRESHOLD_MS = 20;

  private final LoadTime time;
  private final Map<ServiceId, AdapterCacheDepthEstimator> cacheDepths = new TreeMap<>();

  LoadTracker(LoadTime time) {
    this.time = time;
  }

  /** Returns how long a load from the store takes that begins now, in milliseconds. */
  long storeMs(long now) {
    return time.storeMs(now);
  }

  /** Returns how long a load is expected to take that is planned now, in milliseconds. */
  long plannedMs(boolean fromMemory, long now) {
    return fromMemory ? time.memoryMs() : time.storeMs(now);
  }

  /** Returns how deep the memory of the engines of a service reaches. */
  AdapterCacheDepthEstimator depthOf(ServiceId service, int places) {
    return cacheDepths.computeIfAbsent(service, any -> new AdapterCacheDepthEstimator(places));
  }

  /** Notes that an engine has accepted the order for a load. */
  void begin(PlannedEndpoint endpoint, AdapterName name, PlannedEndpoint.Copy copy, long now) {
    if (copy.replaces) {
      // It waits for the runs of the older version, which says nothing about load times.
      copy.readyAt = now + time.storeMs(now);
      return;
    }
    boolean again = endpoint.kept.isCached(name);
    int underWay = time.underWay(now);
    long expectedMs = again ? time.nextMemoryMs() : time.nextStoreMs(underWay);
    int depth = again ? endpoint.kept.depth(name) : 0;
    copy.readyAt = now + expectedMs;
    copy.load = new LoadUnderWay(now, underWay, again, depth, expectedMs);
  }

  /** Takes in that a request found an adapter not there yet, though it was expected. */
  void early(PlannedEndpoint endpoint, PlannedEndpoint.Copy copy, long now) {
    // Several daemons may have sent at the same moment; the first refusal says it all.
    if (now >= copy.readyAt) {
      copy.readyAt = now + lateByMs(endpoint, copy, now);
    }
  }

  private long lateByMs(PlannedEndpoint endpoint, PlannedEndpoint.Copy copy, long now) {
    if (copy.state == PlannedEndpoint.State.PLANNED) {
      return time.storeMs(now);
    }
    return copy.load == null
        ? REPLACED_AGAIN_MS
        : copy.load.refused(time, cacheDepths.get(endpoint.entry.service()), now);
  }

  /**
   * Brings a copy's arrival up to date, or learns from it once it is known.
   *
   * @return whether the arrival has moved so far that it should be reported
   */
  boolean advance(PlannedEndpoint endpoint, PlannedEndpoint.Copy copy, long now) {
    if (copy.load == null) {
      return false;
    }
    if (copy.load.settle(time, cacheDepths.get(endpoint.entry.service()), copy.readyAt, now)) {
      copy.load = null;
      return false;
    }
    boolean onItsWay = copy.load.isFromStore() && copy.readyAt > now;
    if (!onItsWay) {
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

  /** Returns how long loads take now, for those who choose among data centres. */
  LoadTimeEstimates loadTimes(long now) {
    int reach =
        cacheDepths.values().stream().mapToInt(AdapterCacheDepthEstimator::reach).max().orElse(0);
    return new LoadTimeEstimates(time.storeMs(now), time.memoryMs(), reach);
  }
}
