package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.LinkMessage;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The revisions of the endpoint list's entries. Orders changes that arrive out of order, and tells
 * which changes another daemon has missed.
 *
 * <pre>{@code
 * if (!history.isOutdated(endpoint, revision)) {
 *   history.put(endpoint, revision, isChange);
 * }
 * }</pre>
 *
 * <p>Thread-safe; it calls no other object while it holds its lock.
 */
final class EndpointHistory {

  /** Far more than are removed while a message of a coordinator is in transit. */
  private static final int MAX_REMOVALS = 1_000;

  private static final long NONE = -1;
  private static final long UNLISTED = Long.MAX_VALUE;

  /** Revisions of an entry: the newest, and the last that changed more than a heartbeat. */
  private record Revisions(long newest, long changed) {}

  private final Map<EndpointId, Revisions> entries = new HashMap<>();
  private final Map<EndpointId, Long> removals = new LinkedHashMap<>();
  private long completeFrom = UNLISTED;
  private long newestRevision;

  /** Returns whether an entry, or its removal, is known at this revision or a later one. */
  synchronized boolean isOutdated(EndpointId endpoint, long revision) {
    Revisions known = entries.get(endpoint);
    long newest = known == null ? removals.getOrDefault(endpoint, NONE) : known.newest();
    return newest >= revision;
  }

  /** Returns whether an entry is known at a later revision. */
  synchronized boolean isNewer(EndpointId endpoint, long revision) {
    Revisions known = entries.get(endpoint);
    return known != null && known.newest() > revision;
  }

  /**
   * Records an entry.
   *
   * @param endpoint the endpoint
   * @param revision its revision
   * @param changed whether anything but its heartbeat has changed
   */
  synchronized void put(EndpointId endpoint, long revision, boolean changed) {
    Revisions before = entries.get(endpoint);
    long changedAt = changed || before == null ? revision : before.changed();
    entries.put(endpoint, new Revisions(revision, changedAt));
    newestRevision = Math.max(newestRevision, revision);
  }

  /** Records the removal of an entry with the revision that it had. */
  synchronized void remove(EndpointId endpoint, long revision) {
    entries.remove(endpoint);
    removals.remove(endpoint);
    removals.put(endpoint, revision);
    if (removals.size() > MAX_REMOVALS) {
      removals.remove(removals.keySet().iterator().next());
      // Somebody who knows this revision may not know of the removals, which have none of their
      // own.
      completeFrom = newestRevision + 1;
    }
  }

  /**
   * Records that the whole list is known at a revision. Only the first list counts for what is
   * complete: what was removed before it is not known here, even if a later list is older.
   */
  synchronized void listed(long revision) {
    if (completeFrom == UNLISTED) {
      completeFrom = revision;
    }
    newestRevision = Math.max(newestRevision, revision);
  }

  /** Returns whether all changes after a revision are known. */
  synchronized boolean isCompleteSince(long revision) {
    return revision >= completeFrom;
  }

  /** Returns the newest revision of an entry; 0 if it is unknown. */
  synchronized long newest(EndpointId endpoint) {
    Revisions known = entries.get(endpoint);
    return known == null ? 0 : known.newest();
  }

  /** Returns whether an entry has changed after a revision. */
  synchronized boolean isChangedSince(EndpointId endpoint, long revision) {
    Revisions known = entries.get(endpoint);
    return known != null && known.changed() > revision;
  }

  /** Returns the removed endpoints. */
  synchronized List<LinkMessage.GoneEndpoint> removals() {
    return removals.entrySet().stream()
        .map(removal -> new LinkMessage.GoneEndpoint(removal.getKey(), removal.getValue(), 0))
        .toList();
  }
}
