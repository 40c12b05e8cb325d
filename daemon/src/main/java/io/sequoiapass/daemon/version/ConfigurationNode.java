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
 * Holds this daemon's configuration and keeps it up to date: from the platform if this daemon is
 * one of its data centre's watchers, from its peers otherwise.
 *
 * <p>Safe for use by several threads: one lock guards the store, and snapshots are immutable.
 */
public final class ConfigurationNode {

  private static final int WATCHERS = 2;

  /** Maximum time for which a starting daemon waits for live peers that do not answer. */
  private static final long PEER_WAIT_MS = 3_000;

  /** Bound of the first delay after a failed call; the delay is a random part of the bound. */
  private static final long MIN_BACKOFF_MS = 500;

  /** Half of the 4 s within which a change made after an outage must be in force everywhere. */
  private static final long MAX_BACKOFF_MS = 2_000;

  private final ReentrantLock lock = new ReentrantLock();
  private final MillisClock clock;
  private final MillisClock wall;
  private final DaemonId self;
  private final DataCentreId dataCentre;
  private final PlatformReachability reachability;
  private final PlatformFeed feed;
  private final HostListFeed hostFeed;
  private final ConfigurationPeers peers;
  private final ConfigurationListener listener;
  private final WatcherElection election;
  private final ConfigurationStore store =
      ConfigurationStore.create(ConfigurationStore.TOMBSTONE_RETENTION_MILLIS);
  private final HostListMonitor hosts;
  private final HintedSnapshots hinted = new HintedSnapshots();
  private final PresetInForce presets = new PresetInForce();
  private final ColdStart coldStart;
  private final Set<DaemonId> disconnectedPeers = new HashSet<>();
  private final ConfigurationRepair repair;

  private volatile ConfigurationSnapshot snapshot;
  private volatile long root;
  private volatile boolean ready;
  private Collection<DaemonId> alivePeers = List.of();
  private boolean hasListed;

  /**
   * Creates a node without configuration.
   *
   * @param clock the clock for all intervals and timeouts
   * @param wall the wall clock, for the times at which presets come into force
   * @param self this daemon
   * @param dataCentre its data centre
   * @param platform the platform
   * @param peers sends messages to the other daemons
   * @param listener notified of changes
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
    this.reachability = new PlatformReachability(clock);
    this.feed =
        new PlatformFeed(clock, platform, backoff("watch"), reachability, new PlatformSink());
    this.hostFeed =
        new HostListFeed(
            clock, dataCentre, platform, backoff("hosts"), reachability, this::hostsRead);
    this.coldStart = ColdStart.create(clock.millis(), PEER_WAIT_MS);
    this.snapshot = store.snapshot();
    this.root = store.digest().root();
  }

  // The seed contains the daemon's name, so that the daemons of a fleet draw different delays.
  private Backoff backoff(String call) {
    return Backoff.create(
        MIN_BACKOFF_MS,
        MAX_BACKOFF_MS,
        new SplittableRandom((call + self).hashCode() + wall.millis()));
  }

  /** Returns the current configuration, with the hints of the host list applied. */
  public ConfigurationSnapshot snapshot() {
    return snapshot;
  }

  /** Returns the root digest of the configuration held, for heartbeats. */
  public long root() {
    return root;
  }

  /** Returns whether this daemon's own calls to the platform are unanswered. */
  public boolean isCutOff() {
    return reachability.isCutOff();
  }

  /** Returns whether enough configuration is present to serve requests. */
  public boolean ready() {
    return ready;
  }

  /** Returns the preset in force; ORDINARY if there is none. */
  public Preset preset() {
    lock.lock();
    try {
      return presets.inForce(wall.millis());
    } finally {
      lock.unlock();
    }
  }

  /** Returns the hosts that the platform's list shows as leaving or absent. */
  public HostHints hints() {
    lock.lock();
    try {
      return hosts.hints();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Processes everything that is due: repair requests, preset changes and calls to the platform.
   *
   * @param alive the live peers of the data centre
   */
  public void tick(Collection<DaemonId> alive) {
    boolean list;
    boolean watch;
    lock.lock();
    try {
      long now = clock.millis();
      store.tick(now);
      alivePeers = List.copyOf(alive);
      repair.due(now, root, ready).ifPresent(this::requestObjects);
      ready |= coldStart.isReady(now, alive) && presets.isKnown(wall.millis());
      presets.announce(wall.millis(), listener);
      list = store.isListingNeeded() || repair.isListingDue(now);
      watch = isWatcher(alive);
    } finally {
      lock.unlock();
    }
    feed.tick(list, watch);
    hostFeed.tick(watch);
  }

  // A watcher that loses only its connection to the platform still appears live to its peers, so
  // its data centre would have one watcher less, or none. Daemons that report being disconnected
  // are therefore excluded from the election; they probe the platform periodically to detect
  // recovery. In an outage all are disconnected, so the election includes all and its watchers keep
  // retrying.
  private boolean isWatcher(Collection<DaemonId> alive) {
    List<DaemonId> members = new ArrayList<>(alive);
    members.add(self);
    List<DaemonId> reachable = new ArrayList<>(members);
    reachable.removeAll(disconnectedPeers);
    if (reachability.isCutOff()) {
      reachable.remove(self);
    }
    return election.watchers(reachable.isEmpty() ? members : reachable).contains(self);
  }

  // The platform.

  /** Applies the answers of the platform. */
  private final class PlatformSink implements PlatformFeed.Sink {

    @Override
    public void listed(long revision, Set<ObjectKind> kinds, List<ConfigurationObject> objects) {
      runLocked(
          () -> {
            List<ConfigurationObject> newer =
                store.applyListing(clock.millis(), revision, kinds, objects);
            coldStart.platformListed();
            repair.listed();
            if (hasListed) {
              publishAndForward(newer);
            } else if (!newer.isEmpty()) {
              // The first listing is not forwarded: all of it is new to this daemon, but almost
              // none of it to its peers.
              publish(newer);
            }
            hasListed = true;
          });
    }

    @Override
    public void changed(List<ConfigurationObject> objects) {
      runLocked(() -> publishAndForward(store.apply(clock.millis(), objects)));
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
    runLocked(
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

  private void publishAndForward(List<ConfigurationObject> newer) {
    if (newer.isEmpty()) {
      return;
    }
    publish(newer);
    forward(push(newer, false), FanOut.order(self, peers.neighbours(), alivePeers));
  }

  private void forward(PeerMessage.ObjectsPush push, List<DaemonId> order) {
    for (FanOut.Branch branch : FanOut.branches(order)) {
      peers.send(branch.child(), push.withForwardTo(branch.rest()));
    }
  }

  private void publish(List<ConfigurationObject> newer) {
    presets.add(newer);
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
   * Applies and forwards objects pushed by a peer.
   *
   * @param peer the peer
   * @param push the objects
   */
  public void objectsPushed(DaemonId peer, PeerMessage.ObjectsPush push) {
    // Forwarded even if nothing in it is new here: the other watcher's copy may have arrived first,
    // and that copy was forwarded to different peers.
    forward(push, push.forwardTo());
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
        publish(newer);
      }
      if (push.complete()) {
        coldStart.peerAnswered(peer, push.ready());
      }
    } finally {
      lock.unlock();
    }
  }

  /**
   * Applies the host hints pushed by a peer.
   *
   * @param push the hosts that are leaving or absent
   */
  public void hostsPushed(PeerMessage.HostsPush push) {
    runLocked(
        () -> {
          if (hosts.received(push.hints())) {
            hostsChanged(push.hints());
          }
        });
  }

  /**
   * Answers a peer's request for the objects in which it differs.
   *
   * @param peer the peer
   * @param request the request with the peer's digest
   */
  public void objectsRequested(DaemonId peer, PeerMessage.ObjectsRequest request) {
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
   * Processes the digest in a peer's heartbeat, and requests the differing objects if required.
   *
   * @param peer the peer
   * @param peerRoot the root of the peer's digest
   * @param cutOff whether the peer's own calls to the platform are unanswered
   */
  public void digestReceived(DaemonId peer, long peerRoot, boolean cutOff) {
    runLocked(
        () -> {
          if (cutOff) {
            disconnectedPeers.add(peer);
          } else {
            disconnectedPeers.remove(peer);
          }
          if (repair.digestReceived(clock.millis(), peer, peerRoot, root, ready)) {
            requestObjects(peer);
          }
        });
  }

  private void requestObjects(DaemonId peer) {
    peers.send(peer, new PeerMessage.ObjectsRequest(store.digest().buckets()));
  }

  private PeerMessage.ObjectsPush push(List<ConfigurationObject> objects, boolean complete) {
    return new PeerMessage.ObjectsPush(
        objects.stream().map(ObjectCodec::text).toList(), complete, ready, List.of());
  }

  private void runLocked(Runnable action) {
    lock.lock();
    try {
      action.run();
    } finally {
      lock.unlock();
    }
  }
}
