package io.sequoiapass.daemon.version;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.version.ColdStart;
import io.sequoiapass.coordination.version.ConfigurationDigest;
import io.sequoiapass.coordination.version.ConfigurationObject;
import io.sequoiapass.coordination.version.ConfigurationObject.PresetRecord;
import io.sequoiapass.coordination.version.ConfigurationObject.Tombstone;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.coordination.version.ConfigurationStore;
import io.sequoiapass.coordination.version.ObjectKey;
import io.sequoiapass.coordination.version.ObjectKind;
import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.coordination.version.PresetSchedule;
import io.sequoiapass.coordination.version.WatcherElection;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.platform.ObjectChanges;
import io.sequoiapass.daemon.connection.platform.ObjectCodec;
import io.sequoiapass.daemon.connection.platform.ObjectFormatException;
import io.sequoiapass.daemon.connection.platform.ObjectList;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import io.sequoiapass.daemon.connection.platform.PlatformException;
import io.sequoiapass.daemon.connection.platform.StoredObject;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Holds this daemon's configuration and keeps it fresh: from the platform if it is one of its data
 * centre's watchers, from its peers otherwise.
 *
 * <p>Safe for use by several threads: the store changes under one lock, snapshots are immutable.
 */
public final class ConfigurationNode {

  private static final int WATCHERS = 2;

  /** How long the platform may hold a watch: rare enough to cost little of its calls. */
  private static final long WATCH_WAIT_MS = 10_000;

  /** How long a fresh daemon waits for peers that are heard but do not answer. */
  private static final long PEER_WAIT_MS = 3_000;

  private static final long RETRY_MS = 500;

  /** Between two repair exchanges with one peer whose digest differs. */
  private static final long REPAIR_EVERY_MS = 1_000;

  /** A difference that a listing did not mend is a fault; asking more often would not mend it. */
  private static final long LIST_AGAIN_EVERY_MS = 30_000;

  /** All daemons that differ from one list; spread so that they don't in the same moment. */
  private static final int LIST_SPREAD_MS = 2_000;

  private static final Set<ObjectKind> KINDS = Set.of(ObjectKind.values());

  private final ReentrantLock lock = new ReentrantLock();
  private final MillisClock clock;
  private final MillisClock wall;
  private final DaemonId self;
  private final PlatformClient platform;
  private final ConfigurationPeers peers;
  private final ConfigurationListener listener;
  private final WatcherElection election;
  private final ConfigurationStore store =
      ConfigurationStore.create(ConfigurationStore.TOMBSTONE_MILLIS);
  private final PresetSchedule schedule = PresetSchedule.empty();
  private final ColdStart coldStart;
  private final Map<DaemonId, Long> repairedAt = new HashMap<>();
  private final Map<DaemonId, Difference> differences = new HashMap<>();

  private volatile ConfigurationSnapshot snapshot;
  private volatile long root;
  private volatile boolean ready;
  private Preset announced;
  private boolean listed;
  private boolean calling;
  private long nextCallAt = Long.MIN_VALUE;
  private long watchAfter;
  private long listAgainAt = Long.MAX_VALUE;
  private long listedAgainAt = Long.MIN_VALUE;

  /**
   * Makes a node that knows nothing yet.
   *
   * @param clock the clock of all times
   * @param wall the wall clock, for the moment at which a preset comes into force
   * @param self this daemon
   * @param dataCentre its data centre
   * @param platform the platform
   * @param peers the other daemons
   * @param listener hears of changes
   */
  public ConfigurationNode(
      MillisClock clock,
      MillisClock wall,
      DaemonId self,
      DataCentreId dataCentre,
      PlatformClient platform,
      ConfigurationPeers peers,
      ConfigurationListener listener) {
    this.clock = Objects.requireNonNull(clock, "clock");
    this.wall = Objects.requireNonNull(wall, "wall");
    this.self = Objects.requireNonNull(self, "self");
    this.platform = Objects.requireNonNull(platform, "platform");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.listener = Objects.requireNonNull(listener, "listener");
    this.election = WatcherElection.create(dataCentre, WATCHERS);
    this.coldStart = ColdStart.create(clock.millis(), PEER_WAIT_MS);
    this.snapshot = store.snapshot();
    this.root = store.digest().root();
  }

  /** Returns the configuration as it stands. */
  public ConfigurationSnapshot snapshot() {
    return snapshot;
  }

  /** Returns the sum of what is held, for heartbeats. */
  public long root() {
    return root;
  }

  /** Returns whether enough is known to serve. */
  public boolean ready() {
    return ready;
  }

  /** Returns the preset in force; ordinary until one is known. */
  public Preset preset() {
    lock.lock();
    try {
      return schedule.inForce(wall.millis()).orElse(Preset.ORDINARY);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Lets time pass.
   *
   * @param alive the peers of the data centre that are heard from
   */
  public void tick(Collection<DaemonId> alive) {
    boolean call;
    lock.lock();
    try {
      long now = clock.millis();
      store.tick(now);
      ready |= coldStart.isReady(now, alive) && isPresetKnown();
      announcePreset();
      boolean listingDue = store.isListingNeeded() || now >= listAgainAt;
      call = !calling && now >= nextCallAt && (!listed || listingDue || watches(alive));
      calling |= call;
    } finally {
      lock.unlock();
    }
    if (call) {
      callPlatform();
    }
  }

  // A preset that is known but not yet in force hides the one before it, which the others still
  // have. If none is known at all, the listing that made this daemon ready, or its ready peer's,
  // held none: then there is none, and the ordinary one applies.
  private boolean isPresetKnown() {
    return schedule.inForce(wall.millis()).isPresent() || schedule.pending().isEmpty();
  }

  private boolean watches(Collection<DaemonId> alive) {
    List<DaemonId> members = new ArrayList<>(alive);
    members.add(self);
    return election.watchers(members).contains(self);
  }

  private void announcePreset() {
    schedule
        .inForce(wall.millis())
        .filter(preset -> preset != announced)
        .ifPresent(
            preset -> {
              announced = preset;
              listener.presetInForce(preset);
            });
  }

  // The platform.

  private void callPlatform() {
    if (!listed || store.isListingNeeded() || clock.millis() >= listAgainAt) {
      list();
    } else {
      watch();
    }
  }

  private void list() {
    List<CompletableFuture<ObjectList>> listings =
        KINDS.stream().map(kind -> platform.list(kind.pathName())).toList();
    CompletableFuture.allOf(listings.toArray(new CompletableFuture<?>[0]))
        .whenComplete(
            (done, failure) -> {
              if (failure == null) {
                listed(listings.stream().map(CompletableFuture::join).toList());
              } else {
                failed(failure);
              }
            });
  }

  private void listed(List<ObjectList> listings) {
    // The kinds are listed one by one. What changed in between shows in the watch from the lowest
    // revision on, so taking the lowest loses nothing.
    long revision = listings.stream().mapToLong(ObjectList::revision).min().orElse(0);
    List<ConfigurationObject> objects = new ArrayList<>();
    for (ObjectList listing : listings) {
      listing.items().forEach(stored -> read(stored).ifPresent(objects::add));
    }
    lock.lock();
    try {
      List<ConfigurationObject> newer =
          store.applyListing(clock.millis(), revision, KINDS, objects);
      coldStart.platformListed();
      listed = true;
      listAgainAt = Long.MAX_VALUE;
      watchAfter = revision;
      applied(newer);
      callEnded(0);
    } finally {
      lock.unlock();
    }
  }

  private void watch() {
    List<String> kinds = KINDS.stream().map(ObjectKind::pathName).sorted().toList();
    platform
        .watch(kinds, watchAfter, WATCH_WAIT_MS)
        .whenComplete(
            (changes, failure) -> {
              if (failure == null) {
                changed(changes);
              } else {
                failed(failure);
              }
            });
  }

  private void changed(ObjectChanges changes) {
    List<ConfigurationObject> objects = new ArrayList<>();
    for (ObjectChanges.Change change : changes.events()) {
      read(change).ifPresent(objects::add);
    }
    lock.lock();
    try {
      watchAfter = Math.max(watchAfter, changes.revision());
      applied(store.apply(clock.millis(), objects));
      callEnded(0);
    } finally {
      lock.unlock();
    }
  }

  private void failed(Throwable failure) {
    lock.lock();
    try {
      if (failure.getCause() instanceof PlatformException cause
          && cause.reason() == PlatformException.Reason.HISTORY_GONE) {
        listed = false;
      }
      callEnded(RETRY_MS);
    } finally {
      lock.unlock();
    }
    listener.platformFailed(failure);
  }

  private void callEnded(long pauseMs) {
    calling = false;
    nextCallAt = clock.millis() + pauseMs;
  }

  private Optional<ConfigurationObject> read(ObjectChanges.Change change) {
    StoredObject stored = change.object();
    if (change.type() == ObjectChanges.Type.DELETE) {
      try {
        ObjectKind kind = ObjectKind.valueOf(stored.kind().toUpperCase(Locale.ROOT));
        return Optional.of(new Tombstone(new ObjectKey(kind, stored.name()), stored.version()));
      } catch (IllegalArgumentException notOurs) {
        return Optional.empty();
      }
    }
    return read(stored);
  }

  /** An object that cannot be read keeps its last good version in force; operators are told. */
  private Optional<ConfigurationObject> read(StoredObject stored) {
    try {
      return Optional.of(ObjectCodec.read(stored));
    } catch (ObjectFormatException e) {
      listener.objectRefused(e.getMessage());
      return Optional.empty();
    }
  }

  private void applied(List<ConfigurationObject> newer) {
    if (newer.isEmpty()) {
      return;
    }
    take(newer);
    peers.broadcast(push(newer, false));
  }

  private void take(List<ConfigurationObject> newer) {
    for (ConfigurationObject object : newer) {
      if (object instanceof PresetRecord preset) {
        schedule.learned(preset);
      }
    }
    snapshot = store.snapshot();
    root = store.digest().root();
    listener.applied(snapshot, newer);
    announcePreset();
  }

  // Peers.

  /**
   * Takes objects that a peer pushed.
   *
   * @param peer the peer
   * @param push the objects
   */
  public void pushed(DaemonId peer, PeerMessage.ObjectsPush push) {
    List<ConfigurationObject> objects = new ArrayList<>();
    for (String text : push.objects()) {
      try {
        objects.add(ObjectCodec.parse(text));
      } catch (ObjectFormatException e) {
        listener.objectRefused(e.getMessage());
      }
    }
    lock.lock();
    try {
      List<ConfigurationObject> newer = store.apply(clock.millis(), objects);
      if (!newer.isEmpty()) {
        take(newer);
      }
      if (push.complete()) {
        coldStart.peerAnswered(peer, push.ready());
      }
    } finally {
      lock.unlock();
    }
  }

  /**
   * Answers a peer that asks in what it differs.
   *
   * @param peer the peer
   * @param request its digest
   */
  public void asked(DaemonId peer, PeerMessage.ObjectsRequest request) {
    PeerMessage.ObjectsPush answer;
    lock.lock();
    try {
      ConfigurationDigest theirs = new ConfigurationDigest(request.buckets());
      List<Integer> differing = store.digest().differingFrom(theirs);
      answer = push(store.deltaFor(differing, Map.of()), true);
    } catch (IllegalArgumentException malformed) {
      return;
    } finally {
      lock.unlock();
    }
    peers.send(peer, answer);
  }

  /**
   * Compares a peer's digest, as its heartbeat carries it, and asks for what differs.
   *
   * @param peer the peer
   * @param theirRoot the sum of what it holds
   */
  public void heard(DaemonId peer, long theirRoot) {
    PeerMessage.ObjectsRequest request;
    lock.lock();
    try {
      long now = clock.millis();
      boolean repairDue =
          now - repairedAt.getOrDefault(peer, now - REPAIR_EVERY_MS) >= REPAIR_EVERY_MS;
      if ((theirRoot == root && ready) || !repairDue) {
        return;
      }
      repairedAt.put(peer, now);
      noteDifference(now, peer, theirRoot);
      request = new PeerMessage.ObjectsRequest(store.digest().buckets());
    } finally {
      lock.unlock();
    }
    peers.send(peer, request);
  }

  // While changes are on their way two digests differ for a moment. Two that stand still and still
  // differ after a repair cannot be mended between the peers: one of them holds what the other
  // knows to have ended. The platform's listing tells which.
  private void noteDifference(long now, DaemonId peer, long theirRoot) {
    Difference difference = new Difference(theirRoot, root);
    boolean stands = difference.equals(differences.put(peer, difference));
    boolean recent = listedAgainAt != Long.MIN_VALUE && now - listedAgainAt < LIST_AGAIN_EVERY_MS;
    if (stands && ready && theirRoot != root && !recent) {
      listedAgainAt = now;
      listAgainAt = now + Math.floorMod(self.hashCode(), LIST_SPREAD_MS);
    }
  }

  /** Two digests at one moment. */
  private record Difference(long theirs, long own) {}

  private PeerMessage.ObjectsPush push(List<ConfigurationObject> objects, boolean complete) {
    return new PeerMessage.ObjectsPush(
        objects.stream().map(ObjectCodec::text).toList(), complete, ready);
  }
}
