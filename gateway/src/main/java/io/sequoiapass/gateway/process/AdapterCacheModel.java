package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.version.AdapterName;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Estimates which adapters one engine still has in its own memory after they were unloaded.
 *
 * <p>A load from there is fast and needs no transfer from the weight store. Not safe for use by
 * several threads.
 */
final class AdapterCacheModel {

  /** Largest number of adapters, to bound the memory for a large fleet. */
  private static final int MAX_ADAPTERS = 256;

  private final IntSupplier reach;
  private final LruMap adapters = new LruMap();

  private final class LruMap extends LinkedHashMap<AdapterName, Boolean> {

    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<AdapterName, Boolean> eldest) {
      return size() > Math.min(MAX_ADAPTERS, reach.getAsInt());
    }
  }

  /**
   * Creates an empty model.
   *
   * @param reach the number of adapters that an engine is assumed to cache
   */
  AdapterCacheModel(IntSupplier reach) {
    this.reach = reach;
  }

  void held(AdapterName adapter) {
    adapters.remove(adapter);
    adapters.put(adapter, true);
  }

  /** Removes an adapter that is not cached. */
  void remove(AdapterName adapter) {
    adapters.remove(adapter);
  }

  /** Returns the adapters that are assumed to be cached, the most recently held one last. */
  List<AdapterName> all() {
    return List.copyOf(adapters.keySet());
  }

  boolean isCached(AdapterName adapter) {
    return adapters.containsKey(adapter);
  }

  /** Returns how many adapters the engine has held since it last held a cached one. */
  int depth(AdapterName adapter) {
    int before = 0;
    for (AdapterName name : adapters.keySet()) {
      before++;
      if (name.equals(adapter)) {
        break;
      }
    }
    return adapters.size() - before;
  }
}
