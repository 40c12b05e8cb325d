package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Estimates which prompt parts one engine has in its prefix cache, from the prompts that this
 * daemon sent there.
 *
 * <p>An engine caches a part for one model and adapter, evicts the least recently used parts, and
 * reads a part again unless all parts before it are cached. Not safe for use by several threads.
 */
final class PrefixCacheModel {

  /**
   * Share of an engine's memory that is assumed to be available for cached parts beside running
   * requests.
   */
  private static final double CACHE_SHARE = 0.5;

  private final Map<Key, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
  private long tokens;

  private record Key(Optional<AdapterName> adapter, String part) {}

  /** Returns how many leading tokens of a prompt are likely to be cached. */
  long cachedTokens(Generation generation) {
    long cached = 0;
    for (Generation.PromptPart part : generation.parts()) {
      if (!parts.containsKey(new Key(generation.adapter(), part.id()))) {
        break;
      }
      cached += part.tokens();
    }
    return cached;
  }

  /** Records that a prompt was sent. */
  void sent(Generation generation, long memoryLimit) {
    for (Generation.PromptPart part : generation.parts()) {
      Key key = new Key(generation.adapter(), part.id());
      Integer known = parts.put(key, part.tokens());
      tokens += part.tokens() - (known == null ? 0 : known);
    }
    var eldest = parts.entrySet().iterator();
    while (tokens > memoryLimit * CACHE_SHARE && eldest.hasNext()) {
      tokens -= eldest.next().getValue();
      eldest.remove();
    }
  }

  /** Removes the parts of an adapter that was unloaded. */
  void removeAdapter(AdapterName adapter) {
    parts
        .entrySet()
        .removeIf(
            entry -> {
              boolean gone = entry.getKey().adapter().equals(Optional.of(adapter));
              tokens -= gone ? entry.getValue() : 0;
              return gone;
            });
  }
}
