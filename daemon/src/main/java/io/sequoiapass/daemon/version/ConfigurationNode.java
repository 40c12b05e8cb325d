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
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.coordination.version.ConfigurationStore;
import io.sequoiapass.coordination.version.FanOut;
import io.sequoiapass.coordination.version.HintedSnapshots;
import io.sequoiapass.coordination.version.HostHints;
import io.sequoiapass.coordination.version.HostListMonitor;
import io.sequoiapass.coordination.version.HostReport;
import io.sequoiapass.coordination.version.ObjectKind;
import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.coordination.version.WatcherElection;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.platform.ObjectCodec;
import io.sequoiapass.daemon.connection.platform.ObjectFormatException;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import java.util.ArrayList;
import java.util.Collection;
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

  private final ReentrantLock lock = new ReentrantLock();
  private final MillisClock clock;
  private final MillisClock wall;
  private final DaemonId self;
  private final DataCentreId dataCentre;
  private final PlatformReach reach;
  private final PlatformFeed feed;
  private final HostListFeed hostFeed;
  private final ConfigurationPeers peers;
  private final ConfigurationListener listener;
  private final WatcherElection election;
  private final ConfigurationStore store =
      ConfigurationStore.create(ConfigurationStore.TOMBSTONE_MILLIS);
  private final HostListMonitor hosts;
  private final HintedSnapshots hinted = new HintedSnapshots();
  private final PresetInForce presets = new PresetInForce();
  private final ColdStart coldStart;
  private final Set<DaemonId> withoutPlatform = new HashSet<>();
  private final ConfigurationRepair repair;

  private volatile ConfigurationSnapshot snapshot;
  private volatile long root;
  private volatile boolean ready;
  private Collection<DaemonId> heard = List.of();
  private boolean listedOnce;

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
    this.repair = new ConfigurationRepair(self);
    this.hosts = HostListMonitor.create(self);
    this.reach = new PlatformReach(clock);
    this.feed = new PlatformFeed(clock, platform, backoff("watch"), reach, new FromPlatform());
    this.hostFeed =
        new HostListFeed(clock, dataCentre, platform, backoff("hosts"), reach, this::hostsRead);
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

  /** Returns whether this daemon's own calls to the platform go unanswered. */
  public boolean isCutOff() {
    return reach.isCutOff();
  }

  /** Returns whether enough is known to serve. */
  public boolean ready() {
    return ready;
  }

  /** Returns the preset in force; ordinary until one is known. */
  public Preset preset() {
    lock.lock();
    try {
      return presets.inForce(wall.millis());
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
      heard = List.copyOf(alive);
      repair.due(now, root, ready).ifPresent(this::ask);
      ready |= coldStart.isReady(now, alive) && presets.isKnown(wall.millis());
      presets.announce(wall.millis(), listener);
      list = store.isListingNeeded() || repair.isListingDue(now);
      watch = watches(alive);
    } finally {
      lock.unlock();
    }
    feed.tick(list, watch);
    hostFeed.tick(watch);
  }

  // A watcher that is cut off from the platform alone leaves its data centre with one watcher less,
  // or none: its peers hear it and count on it. So nobody counts on a daemon that says it is cut
  // off; it tries again now and then, since contact shows by that alone. In an outage all are cut
  // off, and the first go on trying.
  private boolean watches(Collection<DaemonId> alive) {
    List<DaemonId> members = new ArrayList<>(alive);
    members.add(self);
    List<DaemonId> able = new ArrayList<>(members);
    able.removeAll(withoutPlatform);
    if (reach.isCutOff()) {
      able.remove(self);
    }
    return election.watchers(able.isEmpty() ? members : able).contains(self);
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
            repair.listed();
            if (listedOnce) {
              applied(newer);
            } else if (!newer.isEmpty()) {
              // Everything is new to a fresh daemon, and nearly nothing of it to its peers.
              take(newer);
            }
            listedOnce = true;
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
    passOn(push(newer, false), FanOut.order(self, peers.neighbours(), heard));
  }

  private void passOn(PeerMessage.ObjectsPush push, List<DaemonId> order) {
    for (FanOut.Branch branch : FanOut.branches(order)) {
      peers.send(branch.child(), push.passedOnTo(branch.rest()));
    }
  }

  private void take(List<ConfigurationObject> newer) {
    presets.learned(newer);
    refresh();
    listener.applied(snapshot, newer);
    presets.announce(wall.millis(), listener);
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
    // Also if nothing in it is new here: the other watcher's copy may have come first, and that one
    // was passed on to others.
    passOn(push, push.passOnTo());
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
   * @param cutOff whether its own calls to the platform go unanswered
   */
  public void heard(DaemonId peer, long theirRoot, boolean cutOff) {
    locked(
        () -> {
          if (cutOff) {
            withoutPlatform.add(peer);
          } else {
            withoutPlatform.remove(peer);
          }
          if (repair.heard(clock.millis(), peer, theirRoot, root, ready)) {
            ask(peer);
          }
        });
  }

  private void ask(DaemonId peer) {
    peers.send(peer, new PeerMessage.ObjectsRequest(store.digest().buckets()));
  }

  private PeerMessage.ObjectsPush push(List<ConfigurationObject> objects, boolean complete) {
    return new PeerMessage.ObjectsPush(
        objects.stream().map(ObjectCodec::text).toList(), complete, ready, List.of());
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
