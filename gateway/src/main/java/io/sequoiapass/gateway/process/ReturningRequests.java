package io.sequoiapass.gateway.process;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * First arrivals of requests that got no slot, so that a request that returns keeps its place in
 * the queue.
 *
 * <p>Answers a load in which callers that were rejected return, some of them at once and often: the
 * first arrival counts, whatever the number of retries. A key is stated by a daemon and is not
 * unique; it is used for nothing but a place among equals. Memory is bounded. Not safe for use by
 * several threads.
 */
final class ReturningRequests {

  /** Time from the first arrival until it is forgotten, in milliseconds: a caller's deadline. */
  private static final long RETENTION_MS = 10_000;

  private static final int MAX_KEYS = 8_192;

  private final Map<Long, Long> arrivals =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_KEYS;
        }
      };

  /** Returns the time since the first arrival of a key, in milliseconds; 0 if it is new. */
  long sinceFirst(long key, long now) {
    Long first = arrivals.get(key);
    return first == null || now - first > RETENTION_MS ? 0 : Math.max(0, now - first);
  }

  /** Records a request that was rejected. */
  void rejected(LoadQueue.Place place, long now) {
    if (place.returnKey() != ReturnKey.NONE && sinceFirst(place.returnKey(), now) == 0) {
      arrivals.remove(place.returnKey());
      arrivals.put(place.returnKey(), place.arrivedAt());
    }
  }

  /** Records a request that got a slot. */
  void assigned(LoadQueue.Place place) {
    arrivals.remove(place.returnKey());
  }
}
