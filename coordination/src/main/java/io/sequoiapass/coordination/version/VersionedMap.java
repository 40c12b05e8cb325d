package io.sequoiapass.coordination.version;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A persistent (immutable) map of objects; a modified copy shares all unmodified buckets.
 *
 * <p>Copying 27,000 adapters in full for each of 12 changes per second would consume a large part
 * of a daemon's CPU budget for control work. Instances are safe for use by several threads.
 */
final class VersionedMap {

  static final int BUCKETS = 256;

  static final VersionedMap EMPTY = empty();

  private final List<Map<ObjectKey, ConfigurationObject>> buckets;

  private VersionedMap(List<Map<ObjectKey, ConfigurationObject>> buckets) {
    this.buckets = buckets;
  }

  private static VersionedMap empty() {
    List<Map<ObjectKey, ConfigurationObject>> buckets = new ArrayList<>();
    for (int i = 0; i < BUCKETS; i++) {
      buckets.add(Map.of());
    }
    return new VersionedMap(List.copyOf(buckets));
  }

  static int bucketOf(ObjectKey key) {
    return StableHash.of(key.toString(), 0).bucket(BUCKETS);
  }

  Optional<ConfigurationObject> find(ObjectKey key) {
    return Optional.ofNullable(buckets.get(bucketOf(key)).get(key));
  }

  Collection<ConfigurationObject> bucket(int index) {
    return buckets.get(index).values();
  }

  List<ConfigurationObject> all() {
    List<ConfigurationObject> all = new ArrayList<>();
    buckets.forEach(bucket -> all.addAll(bucket.values()));
    return all;
  }

  /** Returns a copy with the given objects in place of those of the same key. */
  VersionedMap with(Collection<? extends ConfigurationObject> changed) {
    List<ObjectKey> keys = new ArrayList<>();
    changed.forEach(object -> keys.add(object.key()));
    return edit(keys, changed);
  }

  /** Returns a copy without the given keys. */
  VersionedMap without(Collection<ObjectKey> removed) {
    return edit(removed, List.of());
  }

  private VersionedMap edit(
      Collection<ObjectKey> removed, Collection<? extends ConfigurationObject> added) {
    Map<Integer, Map<ObjectKey, ConfigurationObject>> edited = new HashMap<>();
    for (ObjectKey key : removed) {
      edited.computeIfAbsent(bucketOf(key), index -> new HashMap<>(buckets.get(index))).remove(key);
    }
    for (ConfigurationObject object : added) {
      edited
          .computeIfAbsent(bucketOf(object.key()), index -> new HashMap<>(buckets.get(index)))
          .put(object.key(), object);
    }
    List<Map<ObjectKey, ConfigurationObject>> next = new ArrayList<>(buckets);
    edited.forEach((index, bucket) -> next.set(index, Map.copyOf(bucket)));
    return new VersionedMap(List.copyOf(next));
  }
}
