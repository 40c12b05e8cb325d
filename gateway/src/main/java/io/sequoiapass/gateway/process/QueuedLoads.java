package io.sequoiapass.gateway.process;

import io.sequoiapass.gateway.version.AdapterName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The queued loads of a coordinator, one for each adapter, with the daemons that wait for each.
 *
 * <p>Answers a load in which callers leave while their loads wait: a load that no daemon waits for
 * any more is removed, and one that others wait for keeps what those need. Memory is bounded by the
 * queued adapters and the linked daemons. Not safe for use by several threads.
 */
final class QueuedLoads {

  private final Map<AdapterName, LoadQueue.Entry> entries = new HashMap<>();
  private final Map<AdapterName, Map<LinkedDaemon, Part>> parts = new HashMap<>();

  /**
   * Who waits for a load.
   *
   * @param daemon the daemon by its link, since it may have linked again before the loss of its old
   *     link is noticed
   * @param request the number of its load request
   */
  record Source(LinkedDaemon daemon, long request) {}

  /** What the requests of one daemon need, and the number of the last of them. */
  private record Part(LoadQueue.Entry entry, long lastRequest) {

    private Part merge(Part other) {
      return new Part(entry.merge(other.entry), Math.max(lastRequest, other.lastRequest));
    }
  }

  /** Adds a load, or merges it with the one of the same adapter. */
  void add(LoadQueue.Entry entry, Source source) {
    entries.merge(entry.adapter(), entry, LoadQueue.Entry::merge);
    parts
        .computeIfAbsent(entry.adapter(), any -> new LinkedHashMap<>())
        .merge(source.daemon(), new Part(entry, source.request()), Part::merge);
  }

  /** Removes a load. */
  void remove(AdapterName adapter) {
    entries.remove(adapter);
    parts.remove(adapter);
  }

  /** Removes the loads that match. */
  void removeIf(Predicate<LoadQueue.Entry> condition) {
    entries.values().removeIf(condition);
    parts.keySet().retainAll(entries.keySet());
  }

  /**
   * Removes one daemon from those that wait for a load.
   *
   * @param adapter the adapter
   * @param daemon the daemon
   * @param lastRequest the last load request that does not wait any more
   * @return the load if it was removed, since no daemon waits for it
   */
  Optional<LoadQueue.Entry> withdraw(AdapterName adapter, LinkedDaemon daemon, long lastRequest) {
    Map<LinkedDaemon, Part> waiting = parts.getOrDefault(adapter, Map.of());
    Part part = waiting.get(daemon);
    if (part == null || part.lastRequest() > lastRequest) {
      return Optional.empty();
    }
    waiting.remove(daemon);
    Optional<LoadQueue.Entry> rest =
        waiting.values().stream().map(Part::entry).reduce(LoadQueue.Entry::merge);
    if (rest.isPresent()) {
      entries.put(adapter, rest.get());
      return Optional.empty();
    }
    parts.remove(adapter);
    return Optional.ofNullable(entries.remove(adapter));
  }

  /** Removes one daemon from those that wait for any load; returns the loads that were removed. */
  List<LoadQueue.Entry> withdrawAll(LinkedDaemon daemon) {
    List<LoadQueue.Entry> removed = new ArrayList<>();
    for (AdapterName adapter : List.copyOf(parts.keySet())) {
      withdraw(adapter, daemon, Long.MAX_VALUE).ifPresent(removed::add);
    }
    return removed;
  }

  /** Removes all loads. */
  void clear() {
    entries.clear();
    parts.clear();
  }

  /** Returns whether a load of an adapter is queued. */
  boolean contains(AdapterName adapter) {
    return entries.containsKey(adapter);
  }

  /** Returns a view of all loads. */
  Collection<LoadQueue.Entry> all() {
    return Collections.unmodifiableCollection(entries.values());
  }

  /** Returns whether there are no loads. */
  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns the number of loads. */
  int size() {
    return entries.size();
  }
}
