package io.sequoiapass.gateway.process;

/**
 * One load of an adapter, from its order until it is known whether the adapter was there when it
 * was expected; guarded by the lock of its plan.
 */
final class LoadUnderWay {

  /**
   * A request for the adapter is sent as soon as it is expected, and a refusal comes back within
   * some ten milliseconds; after this time without one the adapter was there, in milliseconds.
   */
  private static final long SETTLED_MS = 250;

  /** An adapter that is this many times later than from memory has come from the store. */
  private static final long MEMORY_TIMES = 4;

  /** A load that is late is looked for again after this part of its time. */
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
   * Begins.
   *
   * @param orderedAt when the engine accepted the order, in milliseconds
   * @param beside loads from the store that are under way, this one included
   * @param fromMemory whether the engine is taken to have kept the adapter
   * @param depth how many adapters it held since
   * @param expectedMs after what time the adapter is expected, in milliseconds
   */
  LoadUnderWay(long orderedAt, int beside, boolean fromMemory, int depth, long expectedMs) {
    this.orderedAt = orderedAt;
    this.advancedAt = orderedAt;
    this.beside = beside;
    this.fromMemory = fromMemory;
    this.depth = depth;
    this.expectedMs = expectedMs;
  }

  /** Returns whether it comes from the weight store. */
  boolean isFromStore() {
    return !fromMemory;
  }

  /** Notes that a request was sent to the copy. */
  void tried() {
    tried = true;
  }

  /**
   * Brings the part that is left up to date: all loads share the store, so that those which begin
   * after this one make it later.
   *
   * @param time how long loads take
   * @param now the time, in milliseconds
   * @return how long the load still takes, in milliseconds
   */
  long advance(LoadTime time, long now) {
    double wholeMs = (double) expectedMs * time.storeMs(now) / time.storeMs(beside);
    shareLeft = Math.max(0, shareLeft - (now - advancedAt) / wholeMs);
    advancedAt = now;
    return (long) (shareLeft * wholeMs);
  }

  /**
   * Takes in that the engine refused a request since the adapter was not there yet.
   *
   * @return after what time it is expected now, in milliseconds
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
   * Learns from the load once its outcome is known.
   *
   * @param readyAt when it was expected at last, in milliseconds
   * @return whether it is known
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
      // A refusal of a load from the store was learned from at once.
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
