package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import io.sequoiapass.coordination.version.ConfigurationObject.Tombstone;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Replica of the configuration objects, fed by the platform and by peers; applies only newer
 * versions.
 *
 * <pre>{@code
 * ConfigurationStore store = ConfigurationStore.create(tombstoneMillis);
 * List<ConfigurationObject> applied = store.apply(now, pushed);
 * ConfigurationSnapshot snapshot = store.snapshot();
 * }</pre>
 *
 * <p>Object versions come from a single platform counter, so the highest version wins regardless of
 * the source and order of updates. Not thread-safe; confined to one shard. Snapshots may be read by
 * any thread.
 */
public final class ConfigurationStore {

  /**
   * Retention of tombstones; exceeds the time for which a peer can be disconnected and rejoin with
   * its old state.
   */
  public static final long TOMBSTONE_RETENTION_MILLIS = 3_600_000;

  private final long tombstoneMillis;
  private final Map<ObjectKey, Long> tombstoneTimes = new HashMap<>();
  private final long[] bucketSums = new long[VersionedMap.BUCKETS];
  private VersionedMap objects = VersionedMap.EMPTY;
  private ConfigurationSnapshot snapshot =
      new ConfigurationSnapshot(VersionedMap.EMPTY, 0, List.of());
  private final Map<ObjectKind, Long> listedUpTo = new EnumMap<>(ObjectKind.class);
  private long purgedUpTo;
  private boolean listingNeeded;

  private ConfigurationStore(long tombstoneMillis) {
    this.tombstoneMillis = tombstoneMillis;
  }

  /**
   * Returns an empty store.
   *
   * @param tombstoneMillis retention of tombstones, in milliseconds
   */
  public static ConfigurationStore create(long tombstoneMillis) {
    if (tombstoneMillis <= 0) {
      throw new IllegalArgumentException("tombstoneMillis must be > 0: " + tombstoneMillis);
    }
    return new ConfigurationStore(tombstoneMillis);
  }

  /**
   * Applies objects from a watch or a peer.
   *
   * @param now the time
   * @param updates the objects, in any order, possibly outdated
   * @return the newer objects, to be forwarded
   */
  public List<ConfigurationObject> apply(
      long now, Collection<? extends ConfigurationObject> updates) {
    Map<ObjectKey, ConfigurationObject> newer = new HashMap<>();
    for (ConfigurationObject object : updates) {
      if (isNewer(object, newer.get(object.key()))) {
        newer.put(object.key(), object);
      }
    }
    return commit(now, newer.values());
  }

  /**
   * Applies a complete listing from the platform; objects missing from it have been deleted. A
   * listing older than a previous one is ignored.
   *
   * @param now the time
   * @param revision the value of the platform's counter for the listing
   * @param kinds the kinds that were listed
   * @param listed all objects of these kinds
   * @return the newer objects, including tombstones, to be forwarded
   */
  public List<ConfigurationObject> applyListing(
      long now, long revision, Set<ObjectKind> kinds, Collection<ConfigurationObject> listed) {
    if (kinds.stream().anyMatch(kind -> revision < listedUpTo(kind))) {
      return List.of();
    }
    Map<ObjectKey, ConfigurationObject> newer = new HashMap<>();
    Set<ObjectKey> present = new HashSet<>();
    for (ConfigurationObject object : listed) {
      present.add(object.key());
      if (object.version() > versionOf(object.key())) {
        newer.put(object.key(), object);
      }
    }
    for (ConfigurationObject held : objects.all()) {
      boolean deleted =
          kinds.contains(held.key().kind())
              && !(held instanceof Tombstone)
              && !present.contains(held.key())
              && held.version() <= revision;
      if (deleted) {
        newer.put(held.key(), new Tombstone(held.key(), revision));
      }
    }
    kinds.forEach(kind -> listedUpTo.put(kind, revision));
    listingNeeded = false;
    return commit(now, newer.values());
  }

  /** Removes tombstones whose retention has elapsed. */
  public void tick(long now) {
    List<ObjectKey> old = new ArrayList<>();
    tombstoneTimes.forEach(
        (key, since) -> {
          if (now - since >= tombstoneMillis) {
            old.add(key);
          }
        });
    if (old.isEmpty()) {
      return;
    }
    for (ObjectKey key : old) {
      long version = versionOf(key);
      purgedUpTo = Math.max(purgedUpTo, version);
      tombstoneTimes.remove(key);
    }
    objects = objects.without(old);
  }

  /** Returns the current configuration. */
  public ConfigurationSnapshot snapshot() {
    return snapshot;
  }

  /** Returns an object, if it is present and not deleted. */
  public Optional<ConfigurationObject> find(ObjectKey key) {
    return objects.find(key).filter(object -> !(object instanceof Tombstone));
  }

  /** Returns the version of an object or of its tombstone; 0 if neither is present. */
  public long versionOf(ObjectKey key) {
    return objects.find(key).map(ConfigurationObject::version).orElse(0L);
  }

  /**
   * Returns whether a listing from the platform is needed: an update contained an object that is
   * missing here and not newer than a purged tombstone, so only the platform can decide whether it
   * was deleted.
   */
  public boolean isListingNeeded() {
    return listingNeeded;
  }

  /** Returns the digest of the objects held. */
  public ConfigurationDigest digest() {
    List<Long> sums = new ArrayList<>(bucketSums.length);
    for (long sum : bucketSums) {
      sums.add(sum);
    }
    return new ConfigurationDigest(sums);
  }

  /**
   * Returns the object versions in the given buckets, for a peer with a different digest in them.
   *
   * @param buckets the buckets
   */
  public Map<ObjectKey, Long> versionsIn(Collection<Integer> buckets) {
    Map<ObjectKey, Long> versions = new HashMap<>();
    for (int bucket : buckets) {
      objects.bucket(bucket).forEach(object -> versions.put(object.key(), object.version()));
    }
    return versions;
  }

  /**
   * Returns the objects in the given buckets that a peer lacks or holds in an older version, and
   * tombstones for objects of the peer that a platform listing showed to be deleted.
   *
   * @param buckets the buckets in which the digests differ
   * @param peerVersions the versions that the peer holds in these buckets
   */
  public List<ConfigurationObject> deltaFor(
      Collection<Integer> buckets, Map<ObjectKey, Long> peerVersions) {
    List<ConfigurationObject> delta = new ArrayList<>();
    peerVersions.forEach(
        (key, version) -> {
          if (version <= listedUpTo(key.kind()) && find(key).isEmpty()) {
            delta.add(new Tombstone(key, listedUpTo(key.kind())));
          }
        });
    for (int bucket : buckets) {
      for (ConfigurationObject object : objects.bucket(bucket)) {
        if (object.version() > peerVersions.getOrDefault(object.key(), 0L)) {
          delta.add(object);
        }
      }
    }
    return delta;
  }

  /** Returns all objects, including tombstones, for a starting peer. */
  public List<ConfigurationObject> all() {
    return objects.all();
  }

  private long listedUpTo(ObjectKind kind) {
    return listedUpTo.getOrDefault(kind, 0L);
  }

  // A rejoining daemon may push objects that were deleted while it was disconnected. The
  // tombstone's version rejects them. After the tombstone is purged, unknown objects up to its
  // version are still rejected, and a listing from the platform restores those that exist.
  private boolean isNewer(ConfigurationObject object, ConfigurationObject sameBatch) {
    long known = Math.max(versionOf(object.key()), sameBatch == null ? 0 : sameBatch.version());
    if (object.version() <= known) {
      return false;
    }
    if (find(object.key()).isEmpty() && object.version() <= listedUpTo(object.key().kind())) {
      // Absent from a later listing, so it was deleted by a change that this daemon missed.
      return false;
    }
    if (known == 0 && object.version() <= purgedUpTo) {
      listingNeeded |= !(object instanceof Tombstone);
      return false;
    }
    return true;
  }

  private List<ConfigurationObject> commit(long now, Collection<ConfigurationObject> newer) {
    if (newer.isEmpty()) {
      return List.of();
    }
    long revision = snapshot.revision();
    boolean endpointsChanged = false;
    for (ConfigurationObject object : newer) {
      ObjectKey key = object.key();
      int bucket = VersionedMap.bucketOf(key);
      bucketSums[bucket] += hashOf(object) - objects.find(key).map(held -> hashOf(held)).orElse(0L);
      revision = Math.max(revision, object.version());
      endpointsChanged |= key.kind() == ObjectKind.ENDPOINT;
      trackTombstone(now, object);
    }
    objects = objects.with(newer);
    snapshot =
        new ConfigurationSnapshot(
            objects, revision, endpointsChanged ? sortedEndpoints() : snapshot.endpoints());
    return List.copyOf(newer);
  }

  private void trackTombstone(long now, ConfigurationObject object) {
    if (object instanceof Tombstone) {
      tombstoneTimes.put(object.key(), now);
    } else {
      tombstoneTimes.remove(object.key());
    }
  }

  private List<EndpointRecord> sortedEndpoints() {
    return objects.all().stream()
        .filter(EndpointRecord.class::isInstance)
        .map(EndpointRecord.class::cast)
        .sorted(Comparator.comparing(EndpointRecord::id))
        .toList();
  }

  // Tombstones do not contribute, since each daemon purges them at a different time. A peer that
  // missed a deletion still differs by the object that it holds.
  private static long hashOf(ConfigurationObject object) {
    return object instanceof Tombstone
        ? 0
        : StableHash.of(object.key().toString(), object.version()).bits();
  }
}
