package io.sequoiapass.testbed.standin;

import com.google.gson.JsonElement;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Store of the platform's objects and their latest changes; confined to one event loop.
 *
 * <p>One counter numbers the changes of all kinds, so a watch needs a single revision.
 */
final class PlatformStore {

  private final int history;
  private final TreeMap<ObjectKey, StoredObject> objects = new TreeMap<>();
  private final Deque<Change> changes = new ArrayDeque<>();
  private long revision;
  private long compactedUpTo;

  PlatformStore(int history) {
    this.history = history;
  }

  long revision() {
    return revision;
  }

  Optional<StoredObject> find(String kind, String name) {
    return Optional.ofNullable(objects.get(new ObjectKey(kind, name)));
  }

  List<StoredObject> list(String kind) {
    return objects.values().stream().filter(object -> object.kind().equals(kind)).toList();
  }

  /** Returns whether the object has the expected version, if any; 0 means that it is absent. */
  boolean matches(String kind, String name, Optional<Long> ifMatch) {
    long current = find(kind, name).map(StoredObject::version).orElse(0L);
    return ifMatch.isEmpty() || ifMatch.get() == current;
  }

  StoredObject put(String kind, String name, String operation, JsonElement value) {
    revision++;
    StoredObject object = new StoredObject(kind, name, revision, operation, value);
    objects.put(new ObjectKey(kind, name), object);
    record(new Change(ChangeType.PUT, object));
    return object;
  }

  StoredObject delete(String kind, String name, String operation) {
    revision++;
    StoredObject last = objects.remove(new ObjectKey(kind, name));
    StoredObject deleted = new StoredObject(kind, name, revision, operation, last.value());
    record(new Change(ChangeType.DELETE, deleted));
    return deleted;
  }

  private void record(Change change) {
    changes.addLast(change);
    while (changes.size() > history) {
      compactedUpTo = changes.removeFirst().object().version();
    }
  }

  void compact() {
    compactedUpTo = revision;
    changes.clear();
  }

  /** Returns whether all changes after this revision are available. */
  boolean hasHistoryAfter(long after) {
    return after >= compactedUpTo && after <= revision;
  }

  List<Change> changesAfter(long after, Set<String> kinds) {
    return changes.stream()
        .filter(change -> change.object().version() > after)
        .filter(change -> kinds.contains(change.object().kind()))
        .toList();
  }

  /** Type of a change. */
  enum ChangeType {
    PUT,
    DELETE
  }

  /** An object as returned by the API. */
  record StoredObject(
      String kind, String name, long version, String operation, JsonElement value) {}

  /** One event of a watch. */
  record Change(ChangeType type, StoredObject object) {}

  private record ObjectKey(String kind, String name) implements Comparable<ObjectKey> {
    @Override
    public int compareTo(ObjectKey other) {
      int byKind = kind.compareTo(other.kind);
      return byKind != 0 ? byKind : name.compareTo(other.name);
    }
  }
}
