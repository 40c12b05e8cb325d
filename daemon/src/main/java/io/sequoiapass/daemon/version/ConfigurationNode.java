package io.sequoiapass.daemon.version;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.version.Backoff;
import io.sequoiapass.coordination.version.ColdStart;
import io.sequoiapass.coordination.version.ConfigurationDigest;
import io.sequoiapass.coordination.version.ConfigurationObject;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import io.sequoiapass.coordination.version.ConfigurationObject.PresetRecord;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.coordination.version.ConfigurationStore;
import io.sequoiapass.coordination.version.HintedSnapshots;
import io.sequoiapass.coordination.version.HostHints;
import io.sequoiapass.coordination.version.HostListMonitor;
import io.sequoiapass.coordination.version.HostReport;
import io.sequoiapass.coordination.version.ObjectKind;
import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.coordination.version.PresetSchedule;
import io.sequoiapass.coordination.version.WatcherElection;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.platform.ObjectCodec;
import io.sequoiapass.daemon.connection.platform.ObjectFormatException;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.locks.ReentrantLock;
import java.util.stream.Collectors;

/**
 * Holds this daemon's configuration and keeps it fresh: from the platform if it is one of its data
 * centre's watchers, from its peers otherwise.
 *
 * <p>Safe for use by several threads: the store changes under one lock, snapshots are immutable.
 */
public final class ConfigurationNode {

  private static final int WATCHERS = 2;

  /** How long a fresh daemon waits for peers that are heard but do not answer. */
  private static final long PEER_WAIT_MS = 3_000;

  /** Bounds of the pause after a failed call, of which a random part is waited. */
  private static final long MIN_BACKOFF_MS = 500;

  /** Half of the 4 s within which a change that follows an outage is in force everywhere. */
  private static final long MAX_BACKOFF_MS = 2_000;

  /** Between two repair exchanges with one peer whose digest differs. */
  private static final long REPAIR_EVERY_MS = 1_000;

  /** A difference that a listing did not mend is a fault; asking more often would not mend it. */
  private static final long LIST_AGAIN_EVERY_MS = 30_000;

  /** All daemons that differ from one list; spread so that they don't in the same moment. */
  private static final int LIST_SPREAD_MS = 2_000;

  private final ReentrantLock lock = new ReentrantLock();
  private final MillisClock clock;
  private final MillisClock wall;
  private final DaemonId self;
  private final DataCentreId dataCentre;
  private final PlatformFeed feed;
  private final HostListFeed hostFeed;
  private final ConfigurationPeers peers;
  private final ConfigurationListener listener;
  private final WatcherElection election;
  private final ConfigurationStore store =
      ConfigurationStore.create(ConfigurationStore.TOMBSTONE_MILLIS);
  private final HostListMonitor hosts;
  private final HintedSnapshots hinted = new HintedSnapshots();
  private final PresetSchedule schedule = PresetSchedule.empty();
  private final ColdStart coldStart;
  private final Set<DaemonId> withoutPlatform = new HashSet<>();
  private final Map<DaemonId, Long> repairedAt = new HashMap<>();
  private final Map<DaemonId, Difference> differences = new HashMap<>();

  private volatile ConfigurationSnapshot snapshot;
  private volatile long root;
  private volatile boolean ready;
  private Preset announced;
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
    this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.listener = Objects.requireNonNull(listener, "listener");
    this.election = WatcherElection.create(dataCentre, WATCHERS);
    this.hosts = HostListMonitor.create(self);
    this.feed = new PlatformFeed(clock, platform, backoff("watch"), new FromPlatform());
    this.hostFeed =
        new HostListFeed(clock, dataCentre, platform, backoff("hosts"), this::hostsRead);
    this.coldStart = ColdStart.create(clock.millis(), PEER_WAIT_MS);
    this.snapshot = store.snapshot();
    this.root = store.digest().root();
  }

  // Seeded by the name, so that the daemons of a fleet draw different pauses.
  private Backoff backoff(String call) {
    return Backoff.create(
        MIN_BACKOFF_MS,
        MAX_BACKOFF_MS,
        new SplittableRandom((call + self).hashCode() + wall.millis()));
  }

  /** Returns the configuration as it stands, with what the host list takes out of service. */
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

  /** Returns the hosts that the platform's list shows as leaving or gone. */
  public HostHints hints() {
    lock.lock();
    try {
      return hosts.hints();
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
    boolean list;
    boolean watch;
    lock.lock();
    try {
      long now = clock.millis();
      store.tick(now);
      ready |= coldStart.isReady(now, alive) && isPresetKnown();
      announcePreset();
      list = store.isListingNeeded() || now >= listAgainAt;
      watch = watches(alive);
    } finally {
      lock.unlock();
    }
    feed.tick(list, watch);
    hostFeed.tick(watch);
  }

  // A preset that is known but not yet in force hides the one before it, which the others still
  // have. If none is known at all, the listing that made this daemon ready, or its ready peer's,
  // held none: then there is none, and the ordinary one applies.
  private boolean isPresetKnown() {
    return schedule.inForce(wall.millis()).isPresent() || schedule.pending().isEmpty();
  }

  // A watcher that is cut off from the platform alone would leave its data centre with one watcher
  // less, or none: its peers hear it and count on it. So nobody counts on a peer that says it has
  // no contact. This daemon itself goes on trying, since contact shows by that alone.
  private boolean watches(Collection<DaemonId> alive) {
    List<DaemonId> members = new ArrayList<>(alive);
    members.removeAll(withoutPlatform);
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

  /** Takes what the platform answers. */
  private final class FromPlatform implements PlatformFeed.Sink {

    @Override
    public void listed(long revision, Set<ObjectKind> kinds, List<ConfigurationObject> objects) {
      locked(
          () -> {
            List<ConfigurationObject> newer =
                store.applyListing(clock.millis(), revision, kinds, objects);
            coldStart.platformListed();
            listAgainAt = Long.MAX_VALUE;
            applied(newer);
          });
    }

    @Override
    public void changed(List<ConfigurationObject> objects) {
      locked(() -> applied(store.apply(clock.millis(), objects)));
    }

    @Override
    public void refused(String problem) {
      listener.objectRefused(problem);
    }

    @Override
    public void failed(Throwable failure) {
      listener.platformFailed(failure);
    }
  }

  private void hostsRead(List<HostReport> listed) {
    locked(
        () ->
            hosts
                .read(clock.millis(), listed, hostsInUse())
                .ifPresent(
                    hints -> {
                      hostsChanged(hints);
                      peers.broadcast(new PeerMessage.HostsPush(hints));
                    }));
  }

  private Set<HostId> hostsInUse() {
    return store.snapshot().endpoints(dataCentre).stream()
        .map(EndpointRecord::host)
        .collect(Collectors.toSet());
  }

  private void hostsChanged(HostHints hints) {
    refresh();
    listener.hostsChanged(hints);
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
    refresh();
    listener.applied(snapshot, newer);
    announcePreset();
  }

  private void refresh() {
    snapshot = hinted.apply(store.snapshot(), hosts.hints());
    root = store.digest().root() + hosts.hints().digest();
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
   * Takes what a peer made of the platform's host list.
   *
   * @param push the hosts that are leaving or gone
   */
  public void hostsPushed(PeerMessage.HostsPush push) {
    locked(
        () -> {
          if (hosts.received(push.hints())) {
            hostsChanged(push.hints());
          }
        });
  }

  /**
   * Answers a peer that asks in what it differs.
   *
   * @param peer the peer
   * @param request its digest
   */
  public void asked(DaemonId peer, PeerMessage.ObjectsRequest request) {
    PeerMessage.ObjectsPush answer;
    HostHints hints;
    lock.lock();
    try {
      ConfigurationDigest theirs = new ConfigurationDigest(request.buckets());
      List<Integer> differing = store.digest().differingFrom(theirs);
      answer = push(store.deltaFor(differing, Map.of()), true);
      hints = hosts.hints();
    } catch (IllegalArgumentException malformed) {
      return;
    } finally {
      lock.unlock();
    }
    peers.send(peer, answer);
    if (hints.version() > 0) {
      peers.send(peer, new PeerMessage.HostsPush(hints));
    }
  }

  /**
   * Compares a peer's digest, as its heartbeat carries it, and asks for what differs.
   *
   * @param peer the peer
   * @param theirRoot the sum of what it holds
   * @param platformOut whether it has lost the platform
   */
  public void heard(DaemonId peer, long theirRoot, boolean platformOut) {
    PeerMessage.ObjectsRequest request;
    lock.lock();
    try {
      if (platformOut) {
        withoutPlatform.add(peer);
      } else {
        withoutPlatform.remove(peer);
      }
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

  private void locked(Runnable action) {
    lock.lock();
    try {
      action.run();
    } finally {
      lock.unlock();
    }
  }
}
