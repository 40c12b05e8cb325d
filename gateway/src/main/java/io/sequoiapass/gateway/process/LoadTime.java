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
  private final ArrivalTime[] store = new ArrivalTime[DOUBLINGS];
  private final ArrivalTime memory = new ArrivalTime((double) FIRST_MEMORY_MS);

  /** The loads of all data centres, which share one store. */
  interface Traffic {

    /** Returns the number of loads in progress. */
    int coming(long now);
  }

  LoadTime(Traffic traffic) {
    this.traffic = traffic;
    store[0] = new ArrivalTime((double) FIRST_STORE_MS);
  }

  /** Returns the number of loads in progress, including one that begins now. */
  int underWay(long now) {
    return traffic.coming(now) + 1;
  }

  /** Returns the estimate for a load from the store that begins now, in milliseconds. */
  long storeMs(long now) {
    return storeMs(underWay(now));
  }

  /** Returns the estimate for a load from the store among concurrent loads, in milliseconds. */
  long storeMs(int underWay) {
    return Math.round(known(doubling(underWay)).millis());
  }

  /** Returns the time after which to expect the next load from the store, in milliseconds. */
  long nextStoreMs(int underWay) {
    return Math.round(own(doubling(underWay)).next());
  }

  /** Returns the estimate for a load from an engine's own memory, in milliseconds. */
  long memoryMs() {
    return Math.round(memory.millis());
  }

  /**
   * Returns the time after which to expect the next load from an engine's memory, in milliseconds.
   */
  long nextMemoryMs() {
    return Math.round(memory.next());
  }

  /** Records that a load from the store had ended at an age, in milliseconds. */
  void storeInTime(int underWay, long ageMs) {
    own(doubling(underWay)).inTime((double) ageMs);
  }

  /** Records that a load from the store had not ended at an age, in milliseconds. */
  void storeEarly(int underWay, long ageMs) {
    own(doubling(underWay)).early((double) ageMs);
  }

  /** Records that a load from an engine's memory had ended at an age, in milliseconds. */
  void memoryInTime(long ageMs) {
    memory.inTime((double) ageMs);
  }

  /** Records that a load from an engine's memory had not ended at an age, in milliseconds. */
  void memoryEarly(long ageMs) {
    memory.early((double) ageMs);
  }

  private static int doubling(int loads) {
    int doubling = Integer.SIZE - 1 - Integer.numberOfLeadingZeros(Math.max(1, loads));
    return Math.min(DOUBLINGS - 1, doubling);
  }

  private ArrivalTime own(int doubling) {
    if (store[doubling] == null) {
      store[doubling] = new ArrivalTime(known(doubling).millis());
    }
    return store[doubling];
  }

  private ArrivalTime known(int doubling) {
    int seen = doubling;
    while (store[seen] == null) {
      seen--;
    }
    return store[seen];
  }
}
