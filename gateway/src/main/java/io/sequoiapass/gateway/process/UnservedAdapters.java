package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.version.AdapterName;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Adapters whose loads have been rejected for some seconds, without a slot in between.
 *
 * <p>Answers a load of far more adapters than slots in which one adapter is requested again and
 * again and never loaded. The time since the first rejection counts and not their number, so that
 * callers gain nothing by frequent retries. Memory is bounded. Not safe for use by several threads.
 */
final class UnservedAdapters {

  /** Time from the first rejection until an adapter goes first, in milliseconds. */
  private static final long AGE_MS = 4_000;

  /** An adapter that is not rejected again within this time is forgotten, in milliseconds. */
  private static final long RETENTION_MS = 8_000;

  private static final int MAX_ADAPTERS = 4_096;

  private final Map<AdapterName, Rejections> adapters =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<AdapterName, Rejections> eldest) {
          return size() > MAX_ADAPTERS;
        }
      };

  private record Rejections(long first, long last) {}

  /** Records a rejected load. */
  void rejected(AdapterName adapter, long now) {
    adapters.merge(
        adapter,
        new Rejections(now, now),
        (old, latest) ->
            now - old.last() > RETENTION_MS ? latest : new Rejections(old.first(), now));
  }

  /** Records a load that got a slot. */
  void assigned(AdapterName adapter) {
    adapters.remove(adapter);
  }

  /** Returns whether an adapter has been rejected for long enough to go first. */
  boolean isAged(AdapterName adapter, long now) {
    Rejections known = adapters.get(adapter);
    return known != null && now - known.last() <= RETENTION_MS && now - known.first() >= AGE_MS;
  }
}
