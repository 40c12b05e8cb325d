package io.sequoiapass.gateway.process;

/**
 * Learns how long adapter loads take, from the weight store and from an engine's own memory.
 *
 * <p>The store serves a limited number of loads at full speed, so its time is learned for each
 * doubling of the concurrent loads. An unknown level is taken to be as fast as the next smaller
 * one: an estimate that is too short costs one request a refusal, one that is too long delays every
 * caller. Not safe for use by several threads.
 */
final class LoadTime {

  /** Time of a load from the store until it is learned, in milliseconds. */
  static final long FIRST_STORE_MS = 255;

  /** Time of a load from an engine's own memory until it is learned, in milliseconds. */
  static final long FIRST_MEMORY_MS = 30;

  /** Number of levels; beyond a thousand concurrent loads all count alike. */
  private static final int DOUBLINGS = 11;

  private final Traffic traffic;
  private final ArrivalTime[] store = new ArrivalTime[DOUBLINGS];
  private final ArrivalTime memory = new ArrivalTime((double) FIRST_MEMORY_MS);

  /** Knows the loads of all data centres, which share one store. */
  interface Traffic {

    /** Returns how many adapters are on their way from the store. */
    int coming(long now);
  }

  LoadTime(Traffic traffic) {
    this.traffic = traffic;
    store[0] = new ArrivalTime((double) FIRST_STORE_MS);
  }

  /** Returns how many loads are under way, one that begins now included. */
  int underWay(long now) {
    return traffic.coming(now) + 1;
  }

  /** Returns how long a load from the store takes that begins now, in milliseconds. */
  long storeMs(long now) {
    return storeMs(underWay(now));
  }

  /** Returns how long a load from the store takes beside others, in milliseconds. */
  long storeMs(int underWay) {
    return Math.round(known(doubling(underWay)).millis());
  }

  /** Returns after how long a load from the store is to be expected, in milliseconds. */
  long nextStoreMs(int underWay) {
    return Math.round(own(doubling(underWay)).next());
  }

  /** Returns how long a load from an engine's own memory takes, in milliseconds. */
  long memoryMs() {
    return Math.round(memory.millis());
  }

  /** Returns after how long a load from an engine's memory is to be expected, in milliseconds. */
  long nextMemoryMs() {
    return Math.round(memory.next());
  }

  /** Notes that a load from the store had ended at an age, in milliseconds. */
  void storeInTime(int underWay, long ageMs) {
    own(doubling(underWay)).inTime((double) ageMs);
  }

  /** Notes that a load from the store had not ended at an age, in milliseconds. */
  void storeEarly(int underWay, long ageMs) {
    own(doubling(underWay)).early((double) ageMs);
  }

  /** Notes that a load from an engine's memory had ended at an age, in milliseconds. */
  void memoryInTime(long ageMs) {
    memory.inTime((double) ageMs);
  }

  /** Notes that a load from an engine's memory had not ended at an age, in milliseconds. */
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
