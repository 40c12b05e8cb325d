package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.version.AdapterName;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the adapters that one engine held lately: it keeps them in its own memory for a while,
 * and bringing one back takes a tenth of the time and nothing of the weight store.
 *
 * <p>Not safe for use by several threads.
 */
final class KeptAdapters {

  /** Adapters that an engine is trusted to keep besides those it holds. */
  private static final int KEPT = 40;

  private final Newest newest = new Newest();

  private static final class Newest extends LinkedHashMap<AdapterName, Boolean> {

    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<AdapterName, Boolean> eldest) {
      return size() > KEPT;
    }
  }

  void held(AdapterName adapter) {
    newest.remove(adapter);
    newest.put(adapter, true);
  }

  boolean isKept(AdapterName adapter) {
    return newest.containsKey(adapter);
  }
}
