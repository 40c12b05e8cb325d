package io.sequoiapass.gateway.process;

/**
 * One load of an adapter, from its order until it is known whether the adapter was available at the
 * expected time; guarded by the lock of its plan.
 */
final class LoadUnderWay {

  /**
   * Time after the expected arrival without a refusal after which the adapter counts as loaded, in
   * milliseconds. Requests are sent at the expected arrival, and a refusal takes some ten
   * milliseconds.
   */
  private static final long SETTLED_MS = 250;

  /** A load that takes this many times as long as one from memory comes from the store. */
  private static final long MEMORY_TIMES = 4;

  /** A late load is checked again after its usual time divided by this. */
  private static final long AGAIN_SHARE = 5;

  private final long orderedAt;
  private final int beside;
  private final int depth;
  private final long expectedMs;
  private boolean fromMemory;
  private boolean tried;
  private long refusedAgeMs;
  private double shareLeft = 1;
  private long advancedAt;

  /**
   * Creates a load.
   *
   * @param orderedAt when the engine accepted the order, in milliseconds
   * @param beside loads from the store that are in progress, this one included
   * @param fromMemory whether the engine is assumed to have cached the adapter
   * @param depth how many adapters the engine has held since it last held this one
   * @param expectedMs time from the order until the adapter is expected, in milliseconds
   */
  LoadUnderWay(long orderedAt, int beside, boolean fromMemory, int depth, long expectedMs) {
    this.orderedAt = orderedAt;
    this.advancedAt = orderedAt;
    this.beside = beside;
    this.fromMemory = fromMemory;
    this.depth = depth;
    this.expectedMs = expectedMs;
  }

  /** Returns whether the adapter is loaded from the weight store. */
  boolean isFromStore() {
    return !fromMemory;
  }

  /** Records that a request was sent to the copy. */
  void tried() {
    tried = true;
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
    double wholeMs = (double) expectedMs * time.storeMs(now) / time.storeMs(beside);
    shareLeft = Math.max(0, shareLeft - (now - advancedAt) / wholeMs);
    advancedAt = now;
    return (long) (shareLeft * wholeMs);
  }

  /**
   * Handles a refusal by the engine because the adapter was not loaded yet.
   *
   * @return the new time until the adapter is expected, in milliseconds
   */
  long refused(LoadTime time, AdapterCacheDepthEstimator kept, long now) {
    long ageMs = now - orderedAt;
    if (fromMemory && (refusedAgeMs > 0 || ageMs > MEMORY_TIMES * time.memoryMs())) {
      fromMemory = false;
      refusedAgeMs = 0;
      kept.notCached(depth);
      return Math.max(time.memoryMs(), time.storeMs(beside) - ageMs);
    }
    refusedAgeMs = ageMs;
    if (!fromMemory) {
      time.storeEarly(beside, ageMs);
    }
    return fromMemory ? time.memoryMs() : againMs(time);
  }

  private long againMs(LoadTime time) {
    return Math.max(time.memoryMs(), time.storeMs(beside) / AGAIN_SHARE);
  }

  /**
   * Updates the estimates once the outcome of the load is known.
   *
   * @param readyAt when the adapter was last expected, in milliseconds
   * @return whether the outcome is known
   */
  boolean settle(LoadTime time, AdapterCacheDepthEstimator kept, long readyAt, long now) {
    if (now < readyAt + SETTLED_MS) {
      return false;
    }
    if (tried) {
      learn(time, kept, readyAt - orderedAt);
    }
    return true;
  }

  private void learn(LoadTime time, AdapterCacheDepthEstimator kept, long ageMs) {
    if (fromMemory) {
      kept.kept(depth);
    }
    if (refusedAgeMs > 0) {
      // For a load from the store, refused() has already updated the estimate.
      if (fromMemory) {
        time.memoryEarly(refusedAgeMs);
      }
    } else if (fromMemory) {
      time.memoryInTime(ageMs);
    } else {
      time.storeInTime(beside, ageMs);
    }
  }
}
