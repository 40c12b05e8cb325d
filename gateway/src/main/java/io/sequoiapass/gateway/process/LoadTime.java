package io.sequoiapass.gateway.process;

/**
 * Estimates how long adapter loads take, from the weight store and from an engine's own memory.
 *
 * <p>The store serves a limited number of loads at full speed, so its time is estimated for each
 * doubling of the concurrent loads. A level without samples is assumed to be as fast as the next
 * smaller one: an estimate that is too short causes one refused request, one that is too long
 * delays every caller. Not safe for use by several threads.
 */
final class LoadTime {

  /** Initial estimate for a load from the store, in milliseconds. */
  static final long FIRST_STORE_MS = 255;

  /** Initial estimate for a load from an engine's own memory, in milliseconds. */
  static final long FIRST_MEMORY_MS = 30;

  /** Number of levels; all numbers of concurrent loads beyond a thousand share one level. */
  private static final int DOUBLINGS = 11;

  private final Traffic traffic;
  private final ArrivalTimeEstimator[] store = new ArrivalTimeEstimator[DOUBLINGS];
  private final ArrivalTimeEstimator memory = new ArrivalTimeEstimator((double) FIRST_MEMORY_MS);

  /** The loads of all data centres, which share one store. */
  interface Traffic {

    /** Returns the number of loads in progress. */
    int loadsInProgress(long now);
  }

  LoadTime(Traffic traffic) {
    this.traffic = traffic;
    store[0] = new ArrivalTimeEstimator((double) FIRST_STORE_MS);
  }

  /** Returns the number of loads in progress, including one that begins now. */
  int concurrentLoads(long now) {
    return traffic.loadsInProgress(now) + 1;
  }

  /** Returns the estimate for a load from the store that begins now, in milliseconds. */
  long storeMs(long now) {
    return storeMs(concurrentLoads(now));
  }

  /** Returns the estimate for a load from the store among concurrent loads, in milliseconds. */
  long storeMs(int concurrentLoads) {
    return Math.round(known(doubling(concurrentLoads)).millis());
  }

  /** Returns the time after which to expect the next load from the store, in milliseconds. */
  long nextStoreMs(int concurrentLoads) {
    return Math.round(own(doubling(concurrentLoads)).nextMillis());
  }

  /** Returns the estimate for a load from an engine's own memory, in milliseconds. */
  long memoryMs() {
    return Math.round(memory.millis());
  }

  /**
   * Returns the time after which to expect the next load from an engine's memory, in milliseconds.
   */
  long nextMemoryMs() {
    return Math.round(memory.nextMillis());
  }

  /** Records that a load from the store had ended at an age, in milliseconds. */
  void storeArrivedBy(int concurrentLoads, long ageMs) {
    own(doubling(concurrentLoads)).arrivedBy((double) ageMs);
  }

  /** Records that a load from the store had not ended at an age, in milliseconds. */
  void storeMissingAt(int concurrentLoads, long ageMs) {
    own(doubling(concurrentLoads)).missingAt((double) ageMs);
  }

  /** Records that a load from an engine's memory had ended at an age, in milliseconds. */
  void memoryArrivedBy(long ageMs) {
    memory.arrivedBy((double) ageMs);
  }

  /** Records that a load from an engine's memory had not ended at an age, in milliseconds. */
  void memoryMissingAt(long ageMs) {
    memory.missingAt((double) ageMs);
  }

  private static int doubling(int loads) {
    int doubling = Integer.SIZE - 1 - Integer.numberOfLeadingZeros(Math.max(1, loads));
    return Math.min(DOUBLINGS - 1, doubling);
  }

  private ArrivalTimeEstimator own(int doubling) {
    if (store[doubling] == null) {
      store[doubling] = new ArrivalTimeEstimator(known(doubling).millis());
    }
    return store[doubling];
  }

  private ArrivalTimeEstimator known(int doubling) {
    int seen = doubling;
    while (store[seen] == null) {
      seen--;
    }
    return store[seen];
  }
}
