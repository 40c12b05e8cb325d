package io.sequoiapass.gateway.process;

/**
 * One load of an adapter, from its order until it is known whether the adapter was available at the
 * expected time; guarded by the lock of its plan.
 */
final class LoadInProgress {

  /**
   * Time after the expected arrival without a refusal after which the adapter counts as loaded, in
   * milliseconds. Requests are sent at the expected arrival, and a refusal takes some ten
   * milliseconds.
   */
  private static final long SETTLE_MS = 250;

  /** A load that takes this many times as long as one from memory comes from the store. */
  private static final long MAX_MEMORY_RATIO = 4;

  /** A late load is checked again after its usual time divided by this. */
  private static final long RETRY_DIVISOR = 5;

  private final long orderedAt;
  private final int concurrentLoads;
  private final int depth;
  private final long expectedMs;
  private boolean fromMemory;
  private boolean requestSent;
  private long refusedAgeMs;
  private double remainingShare = 1;
  private long advancedAt;

  /**
   * Creates a load.
   *
   * @param orderedAt when the engine accepted the order, in milliseconds
   * @param concurrentLoads loads from the store that are in progress, this one included
   * @param fromMemory whether the engine is assumed to have cached the adapter
   * @param depth how many adapters the engine has held since it last held this one
   * @param expectedMs time from the order until the adapter is expected, in milliseconds
   */
  LoadInProgress(
      long orderedAt, int concurrentLoads, boolean fromMemory, int depth, long expectedMs) {
    this.orderedAt = orderedAt;
    this.advancedAt = orderedAt;
    this.concurrentLoads = concurrentLoads;
    this.fromMemory = fromMemory;
    this.depth = depth;
    this.expectedMs = expectedMs;
  }

  /** Returns whether the adapter is loaded from the weight store. */
  boolean isFromStore() {
    return !fromMemory;
  }

  /** Records that a request was sent to the copy. */
  void requestSent() {
    requestSent = true;
  }

  /**
   * Updates the remaining share of the load. All loads share the store, so loads that begin after
   * this one delay it.
   *
   * @param time how long loads take
   * @param now the time, in milliseconds
   * @return the remaining time of the load, in milliseconds
   */
  long advance(LoadTime time, long now) {
    double totalMs = (double) expectedMs * time.storeMs(now) / time.storeMs(concurrentLoads);
    remainingShare = Math.max(0, remainingShare - (now - advancedAt) / totalMs);
    advancedAt = now;
    return (long) (remainingShare * totalMs);
  }

  /**
   * Handles a refusal by the engine because the adapter was not loaded yet.
   *
   * @return the new time until the adapter is expected, in milliseconds
   */
  long refused(LoadTime time, AdapterCacheDepthEstimator cacheDepth, long now) {
    long ageMs = now - orderedAt;
    if (fromMemory && (refusedAgeMs > 0 || ageMs > MAX_MEMORY_RATIO * time.memoryMs())) {
      fromMemory = false;
      refusedAgeMs = 0;
      cacheDepth.notCached(depth);
      return Math.max(time.memoryMs(), time.storeMs(concurrentLoads) - ageMs);
    }
    refusedAgeMs = ageMs;
    if (!fromMemory) {
      time.storeMissingAt(concurrentLoads, ageMs);
    }
    return fromMemory ? time.memoryMs() : retryMs(time);
  }

  private long retryMs(LoadTime time) {
    return Math.max(time.memoryMs(), time.storeMs(concurrentLoads) / RETRY_DIVISOR);
  }

  /**
   * Updates the estimates once the outcome of the load is known.
   *
   * @param readyAt when the adapter was last expected, in milliseconds
   * @return whether the outcome is known
   */
  boolean settle(LoadTime time, AdapterCacheDepthEstimator cacheDepth, long readyAt, long now) {
    if (now < readyAt + SETTLE_MS) {
      return false;
    }
    if (requestSent) {
      updateEstimates(time, cacheDepth, readyAt - orderedAt);
    }
    return true;
  }

  private void updateEstimates(LoadTime time, AdapterCacheDepthEstimator cacheDepth, long ageMs) {
    if (fromMemory) {
      cacheDepth.cached(depth);
    }
    if (refusedAgeMs > 0) {
      // For a load from the store, refused() has already updated the estimate.
      if (fromMemory) {
        time.memoryMissingAt(refusedAgeMs);
      }
    } else if (fromMemory) {
      time.memoryArrivedBy(ageMs);
    } else {
      time.storeArrivedBy(concurrentLoads, ageMs);
    }
  }
}
