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
 * Gathers configuration objects from the platform and from peers, and applies only what is newer.
 *
 * <pre>{@code
 * ConfigurationStore store = ConfigurationStore.create(ConfigurationStore.TOMBSTONE_MILLIS);
 * List<ConfigurationObject> applied = store.apply(now, pushed);
 * ConfigurationSnapshot snapshot = store.snapshot();
 * }</pre>
 *
 * <p>An object's version is the platform's one counter, so whatever order news comes in, from
 * whomever, the highest stays. Not thread-safe; one shard drives it, and snapshots may be read by
 * any thread.
 */
public final class ConfigurationStore {

  /** How long deletions are remembered: longer than any peer is away and comes back as it was. */
  public static final long TOMBSTONE_MILLIS = 3_600_000;

  private final long tombstoneMillis;
  private final Map<ObjectKey, Long> tombstonesSince = new HashMap<>();
  private final long[] bucketSums = new long[VersionedMap.BUCKETS];
  private VersionedMap objects = VersionedMap.EMPTY;
  private ConfigurationSnapshot snapshot =
      new ConfigurationSnapshot(VersionedMap.EMPTY, 0, List.of());
  private final Map<ObjectKind, Long> listedUpTo = new EnumMap<>(ObjectKind.class);
  private long forgottenUpTo;
  private boolean listingNeeded;

  private ConfigurationStore(long tombstoneMillis) {
    this.tombstoneMillis = tombstoneMillis;
  }

  /**
   * Returns an empty store.
   *
   * @param tombstoneMillis how long deletions are remembered
   */
  public static ConfigurationStore create(long tombstoneMillis) {
    if (tombstoneMillis <= 0) {
      throw new IllegalArgumentException("tombstoneMillis must be > 0: " + tombstoneMillis);
    }
    return new ConfigurationStore(tombstoneMillis);
  }

  /**
   * Takes in objects from a watch or a peer.
   *
   * @param now the time
   * @param news the objects, in any order, old ones among them
   * @return those that were newer, to be pushed on
   */
  public List<ConfigurationObject> apply(long now, Collection<? extends ConfigurationObject> news) {
    Map<ObjectKey, ConfigurationObject> newer = new HashMap<>();
    for (ConfigurationObject object : news) {
      if (isNewer(object, newer.get(object.key()))) {
        newer.put(object.key(), object);
      }
    }
    return commit(now, newer.values());
  }

  /**
   * Takes in a complete listing from the platform, in which what is missing was deleted; one that
   * is older than a former listing changes nothing.
   *
   * @param now the time
   * @param revision the platform's counter at the listing
   * @param kinds the kinds that were listed
   * @param listed all objects of these kinds
   * @return those that were newer, deletions among them, to be pushed on
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
    for (ConfigurationObject known : objects.all()) {
      boolean deleted =
          kinds.contains(known.key().kind())
              && !(known instanceof Tombstone)
              && !present.contains(known.key())
              && known.version() <= revision;
      if (deleted) {
        newer.put(known.key(), new Tombstone(known.key(), revision));
      }
    }
    kinds.forEach(kind -> listedUpTo.put(kind, revision));
    listingNeeded = false;
    return commit(now, newer.values());
  }

  /** Lets time pass: forgets deletions that are old enough. */
  public void tick(long now) {
    List<ObjectKey> old = new ArrayList<>();
    tombstonesSince.forEach(
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
      forgottenUpTo = Math.max(forgottenUpTo, version);
      tombstonesSince.remove(key);
    }
    objects = objects.without(old);
  }

  /** Returns the configuration as it stands. */
  public ConfigurationSnapshot snapshot() {
    return snapshot;
  }

  /** Returns one object, if it is held and not deleted. */
  public Optional<ConfigurationObject> find(ObjectKey key) {
    return objects.find(key).filter(object -> !(object instanceof Tombstone));
  }

  /** Returns the version of an object, or of its deletion; 0 if nothing is known of it. */
  public long versionOf(ObjectKey key) {
    return objects.find(key).map(ConfigurationObject::version).orElse(0L);
  }

  /**
   * Returns whether something came up that only a listing from the platform can decide: an object
   * unknown here that is older than a forgotten deletion.
   */
  public boolean isListingNeeded() {
    return listingNeeded;
  }

  /** Returns the sum of what is held. */
  public ConfigurationDigest digest() {
    List<Long> sums = new ArrayList<>(bucketSums.length);
    for (long sum : bucketSums) {
      sums.add(sum);
    }
    return new ConfigurationDigest(sums);
  }

  /**
   * Returns the versions held in some buckets, for a peer whose digest differs there.
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
   * Returns the objects of some buckets that a peer lacks or holds in an older version, and the
   * deletion of those it holds that a listing from the platform showed to be gone.
   *
   * @param buckets the buckets in which the digests differ
   * @param theirs the versions that the peer holds in them
   */
  public List<ConfigurationObject> deltaFor(
      Collection<Integer> buckets, Map<ObjectKey, Long> theirs) {
    List<ConfigurationObject> delta = new ArrayList<>();
    theirs.forEach(
        (key, version) -> {
          if (version <= listedUpTo(key.kind()) && find(key).isEmpty()) {
            delta.add(new Tombstone(key, listedUpTo(key.kind())));
          }
        });
    for (int bucket : buckets) {
      for (ConfigurationObject object : objects.bucket(bucket)) {
        if (object.version() > theirs.getOrDefault(object.key(), 0L)) {
          delta.add(object);
        }
      }
    }
    return delta;
  }

  /** Returns everything held, deletions included, for a peer that starts. */
  public List<ConfigurationObject> all() {
    return objects.all();
  }

  private long listedUpTo(ObjectKind kind) {
    return listedUpTo.getOrDefault(kind, 0L);
  }

  // A daemon that was cut off pushes what was deleted meanwhile. The tombstone's version refuses
  // it; once the tombstone is forgotten, its version still bounds what unknown objects are
  // believed, and a listing from the platform decides about the rest.
  private boolean isNewer(ConfigurationObject object, ConfigurationObject sameBatch) {
    long known = Math.max(versionOf(object.key()), sameBatch == null ? 0 : sameBatch.version());
    if (object.version() <= known) {
      return false;
    }
    if (find(object.key()).isEmpty() && object.version() <= listedUpTo(object.key().kind())) {
      // Not in a listing that would have shown it: deleted before, by a change that was missed.
      return false;
    }
    if (known == 0 && object.version() <= forgottenUpTo) {
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
      bucketSums[bucket] += sumOf(object) - objects.find(key).map(held -> sumOf(held)).orElse(0L);
      revision = Math.max(revision, object.version());
      endpointsChanged |= key.kind() == ObjectKind.ENDPOINT;
      noteTombstone(now, object);
    }
    objects = objects.with(newer);
    snapshot =
        new ConfigurationSnapshot(
            objects, revision, endpointsChanged ? endpointsNow() : snapshot.endpoints());
    return List.copyOf(newer);
  }

  private void noteTombstone(long now, ConfigurationObject object) {
    if (object instanceof Tombstone) {
      tombstonesSince.put(object.key(), now);
    } else {
      tombstonesSince.remove(object.key());
    }
  }

  private List<EndpointRecord> endpointsNow() {
    return objects.all().stream()
        .filter(EndpointRecord.class::isInstance)
        .map(EndpointRecord.class::cast)
        .sorted(Comparator.comparing(EndpointRecord::id))
        .toList();
  }

  // Tombstones count as nothing, since each daemon forgets them at a time of its own; a peer that
  // missed a deletion still differs by the object it holds.
  private static long sumOf(ConfigurationObject object) {
    return object instanceof Tombstone
        ? 0
        : StableHash.of(object.key().toString(), object.version()).bits();
  }
}
