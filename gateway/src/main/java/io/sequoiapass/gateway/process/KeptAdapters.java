package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the adapters that engines held lately: an engine keeps them in its own memory for a
 * while, and bringing one back takes a tenth of the time and nothing of the weight store.
 *
 * <p>Not safe for use by several threads.
 */
final class KeptAdapters {

  /** Adapters that an engine is trusted to keep besides those it holds. */
  private static final int KEPT = 40;

  private final Map<EndpointId, Newest> engines = new HashMap<>();

  private static final class Newest extends LinkedHashMap<AdapterName, Boolean> {

    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<AdapterName, Boolean> eldest) {
      return size() > KEPT;
    }
  }

  void held(EndpointId engine, AdapterName adapter) {
    Newest newest = engines.computeIfAbsent(engine, unknown -> new Newest());
    newest.remove(adapter);
    newest.put(adapter, true);
  }

  boolean isKept(EndpointId engine, AdapterName adapter) {
    Newest newest = engines.get(engine);
    return newest != null && newest.containsKey(adapter);
  }

  /** Forgets an engine whose memory went with its process. */
  void forget(EndpointId engine) {
    engines.remove(engine);
  }

  void retain(Collection<EndpointId> present) {
    engines.keySet().retainAll(present);
  }
}
