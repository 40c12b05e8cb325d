package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.FencingNumber;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.process.Candidate;
import io.sequoiapass.coordination.process.DeputyRule;
import io.sequoiapass.coordination.process.FencePolicy;
import io.sequoiapass.coordination.process.LeaseAction;
import io.sequoiapass.coordination.process.LeaseKeeper;
import io.sequoiapass.coordination.process.LeaseObserver;
import io.sequoiapass.coordination.process.LeaseStanding;
import io.sequoiapass.coordination.process.MemberState;
import io.sequoiapass.coordination.process.Membership;
import io.sequoiapass.coordination.process.MembershipChange;
import io.sequoiapass.coordination.process.OrderKind;
import io.sequoiapass.coordination.process.OwnershipPlanner;
import io.sequoiapass.coordination.process.OwnershipProposal;
import io.sequoiapass.coordination.process.OwnershipSettings;
import io.sequoiapass.coordination.process.OwnershipTable;
import io.sequoiapass.coordination.process.PlatformContact;
import io.sequoiapass.coordination.process.PlatformReport;
import io.sequoiapass.coordination.process.ServingRole;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.coordination.version.WriteAnswer;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import io.sequoiapass.daemon.process.ledger.LedgerLeases;
import io.sequoiapass.daemon.process.owner.OrderGate;
import java.security.SecureRandom;
import java.util.Collection;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Keeps this daemon's lease, hears its peers, and takes part in its data centre's ownership table.
 *
 * <p>The decisions are those of {@link LeaseKeeper}, {@link Membership}, {@link LeaseObserver} and
 * {@link OwnershipPlanner}; this class carries their messages and calls. Safe for use by several
 * threads: one lock guards all decision objects, and no call is waited for under it.
 */
public final class OwnershipNode implements OrderGate, LedgerLeases {

  private static final String LEASE = "lease";
  private static final String OWNERSHIP = "ownership";
  private static final double EQUAL_WEIGHT = 1.0;

  /** A peer never heard from echoes no time of ours: older than any report that is believed. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final ReentrantLock lock = new ReentrantLock();
  private final OwnershipTimes times;
  private final DaemonId self;
  private final DataCentreId dataCentre;
  private final MillisClock clock;
  private final PlatformClient platform;
  private final OwnershipPeers peers;
  private final OwnershipListener listener;
  private final PlatformContact contact;
  private final Membership membership;
  private final LeaseObserver observer;
  private final LeaseKeeper keeper;
  private final OwnershipPlanner planner;
  private final DeputyRule deputies;
  private final Relays relays;
  private final Map<DaemonId, Long> echoes = new HashMap<>();
  private final Map<DataCentreId, OwnershipTable> remoteTables = new ConcurrentHashMap<>();
  private volatile OwnershipTable announced = OwnershipTable.EMPTY;
  private LeaseStanding lastStanding = LeaseStanding.NOT_HELD;
  private long nextTableReadAt = Long.MIN_VALUE;
  private boolean readingTable;
  private boolean draining;
  private long renewalTold;
  private ConfigurationSnapshot lastSnapshot;
  private Set<EndpointId> endpoints = Set.of();
  private Map<EndpointId, FencePolicy> fences = Map.of();

  /**
   * Makes a node that holds no lease and knows no table.
   *
   * @param identity who this daemon is
   * @param times leases, heartbeats and rounds
   * @param clock the clock of all times
   * @param platform the platform
   * @param peers the other daemons
   * @param listener hears of changes
   */
  public OwnershipNode(
      DaemonIdentity identity,
      OwnershipTimes times,
      MillisClock clock,
      PlatformClient platform,
      OwnershipPeers peers,
      OwnershipListener listener) {
    this.times = Objects.requireNonNull(times, "times");
    this.self = identity.daemon();
    this.dataCentre = identity.dataCentre();
    this.clock = Objects.requireNonNull(clock, "clock");
    this.platform = Objects.requireNonNull(platform, "platform");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.listener = Objects.requireNonNull(listener, "listener");
    long now = clock.millis();
    // Operation ids carry a number drawn here. Two processes of one name that drew the same would
    // each take the other's write for its own, so the seed has to differ even between two that
    // start in the same millisecond.
    SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
    this.contact = PlatformContact.create(times.lease(), now);
    this.membership = Membership.create(times.membership(), now);
    this.observer = LeaseObserver.create(times.lease(), contact);
    this.keeper =
        LeaseKeeper.create(
            times.lease(),
            self,
            identity.peerAddress(),
            identity.incarnation(),
            random.split(),
            contact,
            now);
    this.planner =
        OwnershipPlanner.create(
            OwnershipSettings.DEFAULT, dataCentre, self, observer, random.split());
    this.deputies = DeputyRule.create(self);
    this.relays = new Relays(platform, peers, clock);
  }

  // Time.

  /**
   * Lets time pass.
   *
   * @param snapshot the configuration as it stands
   * @param plannedMoves whether the preset in force allows moves that nothing but balance asks for
   */
  public void tick(ConfigurationSnapshot snapshot, boolean plannedMoves) {
    locked(
        () -> {
          long now = clock.millis();
          endpointsAre(snapshot);
          keeper.dataCentreIs(new TreeSet<>(peers.neighbours()));
          keeper.tick(now).ifPresent(this::call);
          peers.neighbours().forEach(peer -> membership.learned(now, peer, peers.hint(peer)));
          membership.tick(now).forEach(this::changed);
          readTable(now);
          keeper.tableSeen(planner.table().version());
          planner.candidatesAre(now, keeper.incarnation(), candidates(now));
          planner.leasesToCheck(now).forEach(this::readLease);
          proposal(now, plannedMoves).ifPresent(this::write);
          announce();
        });
  }

  private void endpointsAre(ConfigurationSnapshot snapshot) {
    if (snapshot == lastSnapshot) {
      return;
    }
    lastSnapshot = snapshot;
    Set<EndpointId> known = new TreeSet<>();
    Map<EndpointId, FencePolicy> policies = new HashMap<>();
    for (EndpointRecord endpoint : snapshot.endpoints(dataCentre)) {
      known.add(endpoint.id());
      policies.put(endpoint.id(), endpoint.fencePolicy());
    }
    endpoints = known;
    fences = policies;
    planner.endpointsAre(known);
  }

  private Map<DaemonId, Candidate> candidates(long now) {
    Map<DaemonId, Candidate> found = new HashMap<>();
    membership.candidates().stream()
        .filter(peer -> observer.isLive(now, peer))
        .forEach(
            peer -> found.put(peer, new Candidate(EQUAL_WEIGHT, membership.incarnation(peer))));
    if (keeper.isCandidate(now)) {
      found.put(self, new Candidate(EQUAL_WEIGHT, keeper.incarnation()));
    }
    return found;
  }

  private Optional<OwnershipProposal> proposal(long now, boolean plannedMoves) {
    Optional<OwnershipProposal> found = planner.retry(now);
    if (found.isEmpty() && (keeper.needsTable(now) || planner.needsConfirmation())) {
      found = planner.confirm(now);
    }
    if (found.isEmpty()) {
      found = planner.takeOver(now);
    }
    if (found.isPresent() || !keeper.mayHandOver(now)) {
      return found;
    }
    if (draining) {
      return planner.handOver(now, endpoints);
    }
    return plannedMoves ? planner.rebalance(now) : Optional.empty();
  }

  private void announce() {
    LeaseStanding standing = keeper.standing(clock.millis());
    if (standing != lastStanding) {
      lastStanding = standing;
      listener.leaseStands(standing);
    }
    OwnershipTable table = planner.table();
    if (table.version() > announced.version()) {
      announced = table;
      listener.tableChanged(dataCentre, table);
    }
  }

  private void changed(MembershipChange change) {
    listener.memberChanged(change);
    if (change.to() == MemberState.SUSPECT) {
      observer.fellSilent(change.daemon());
    }
    if (change.to() == MemberState.DEAD) {
      listener.peerDead(change.daemon());
    }
  }

  // The platform.

  private void call(LeaseAction action) {
    relays.carry(action, self, answered -> locked(() -> answered.accept(keeper)));
  }

  private void readTable(long now) {
    if (readingTable || now < nextTableReadAt) {
      return;
    }
    readingTable = true;
    nextTableReadAt = now + times.tableReadMs();
    platform
        .read(OWNERSHIP, dataCentre.value())
        .whenComplete(
            (stored, failure) ->
                locked(
                    () -> {
                      readingTable = false;
                      if (failure == null) {
                        contact.succeeded(clock.millis());
                        planner.tableSeen(clock.millis(), LeaseCodec.table(stored));
                        announce();
                      }
                    }));
  }

  private void readLease(DaemonId holder) {
    long sentAt = clock.millis();
    platform
        .read(LEASE, holder.value())
        .whenComplete(
            (stored, failure) ->
                locked(
                    () -> {
                      if (failure == null) {
                        long now = clock.millis();
                        contact.succeeded(now);
                        long version = stored.map(found -> found.version()).orElse(0L);
                        observer.leaseRead(sentAt, now, holder, version);
                      }
                    }));
  }

  private void write(OwnershipProposal proposal) {
    platform
        .put(
            OWNERSHIP,
            dataCentre.value(),
            LeaseCodec.json(proposal.table()),
            proposal.expectedVersion(),
            proposal.operation())
        .thenAccept(answer -> locked(() -> written(proposal.operation(), answer)));
  }

  private void written(OperationId operation, WriteAnswer answer) {
    if (!(answer instanceof WriteAnswer.Lost)) {
      contact.succeeded(clock.millis());
    }
    planner.answered(clock.millis(), operation, answer);
    if (planner.table().version() > announced.version()) {
      announce();
      peers.broadcastTable(new PeerMessage.TablePush(dataCentre, planner.table()));
    }
    if (answer instanceof WriteAnswer.Conflict) {
      nextTableReadAt = Long.MIN_VALUE;
    }
  }

  // Peers.

  /**
   * Returns the heartbeat for a peer.
   *
   * @param peer the peer
   * @param configuration the digest of the configuration held
   * @param weightDemand how many loads this daemon waits for
   */
  public PeerMessage.Heartbeat heartbeat(DaemonId peer, long configuration, int weightDemand) {
    lock.lock();
    try {
      long now = clock.millis();
      PlatformReport report =
          new PlatformReport(
              contact.isOut(now) && !planner.isWritePending(),
              planner.table().version(),
              keeper.version(),
              echoes.getOrDefault(peer, NEVER));
      renewalTold = keeper.version();
      return new PeerMessage.Heartbeat(
          keeper.incarnation(), draining, configuration, report, now, weightDemand, false);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns whether peers are to be sent a heartbeat at once, since the lease was renewed after the
   * last one. A renewal that no heartbeat carried is learned only by reading the lease once this
   * daemon is silent, which starts the lease anew and delays the takeover.
   */
  public boolean isHeartbeatDue() {
    lock.lock();
    try {
      return keeper.version() != renewalTold;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Takes a control message of a peer in this data centre.
   *
   * @param peer the peer
   * @param message the message
   */
  public void received(DaemonId peer, PeerMessage message) {
    if (message instanceof PeerMessage.Heartbeat beat) {
      locked(() -> heard(peer, beat));
    } else if (message instanceof PeerMessage.TablePush push) {
      locked(() -> tableSeen(push));
    } else if (message instanceof PeerMessage.TableRequest request) {
      OwnershipTable table = announced;
      if (table.version() > request.knownVersion()) {
        peers.send(peer, new PeerMessage.TablePush(dataCentre, table));
      }
    } else if (message instanceof PeerMessage.RelayCall call) {
      relays.serve(peer, call);
    } else if (message instanceof PeerMessage.RelayAnswer answer) {
      relays.answered(answer);
    }
  }

  private void heard(DaemonId peer, PeerMessage.Heartbeat beat) {
    long now = clock.millis();
    if (!peers.isNeighbour(peer)) {
      OwnershipTable known = tableOf(peers.dataCentreOf(peer));
      if (beat.platform().tableVersion() > known.version()) {
        peers.send(peer, new PeerMessage.TableRequest(known.version()));
      }
      return;
    }
    MemberState said = beat.draining() ? MemberState.DRAINING : MemberState.ALIVE;
    membership.heartbeatReceived(now, peer, beat.incarnation(), said).ifPresent(this::changed);
    keeper.peerReported(peer, beat.platform());
    observer.heartbeatCarried(now, peer, beat.platform().leaseVersion());
    echoes.merge(peer, beat.sentMs(), Math::max);
    if (beat.platform().tableVersion() > planner.table().version()) {
      peers.send(peer, new PeerMessage.TableRequest(planner.table().version()));
    }
  }

  private void tableSeen(PeerMessage.TablePush push) {
    if (push.dataCentre().equals(dataCentre)) {
      planner.tableSeen(clock.millis(), push.table());
      announce();
      return;
    }
    OwnershipTable known = tableOf(push.dataCentre());
    if (push.table().version() > known.version()) {
      remoteTables.put(push.dataCentre(), push.table());
      listener.tableChanged(push.dataCentre(), push.table());
    }
  }

  // What others ask.

  private OwnershipTable tableOf(DataCentreId wanted) {
    return wanted.equals(dataCentre)
        ? announced
        : remoteTables.getOrDefault(wanted, OwnershipTable.EMPTY);
  }

  /**
   * Returns the daemon that takes requests for an endpoint: its owner, or its deputy in an outage.
   *
   * @param endpoint the endpoint
   */
  public Optional<DaemonId> server(EndpointRecord endpoint) {
    if (!endpoint.dataCentre().equals(dataCentre)) {
      return tableOf(endpoint.dataCentre()).owner(endpoint.id());
    }
    lock.lock();
    try {
      return deputies.server(
          endpoint.id(), planner.table(), membership, contact.isOut(clock.millis()));
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the endpoints that this daemon serves, as owner or as deputy.
   *
   * @param candidates the endpoints of the data centre
   */
  public List<EndpointRecord> served(Collection<EndpointRecord> candidates) {
    lock.lock();
    try {
      boolean out = contact.isOut(clock.millis());
      return candidates.stream()
          .filter(
              endpoint ->
                  deputies.role(endpoint.id(), planner.table(), membership, out)
                      != ServingRole.NONE)
          .toList();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Optional<FencingNumber> permit(EndpointId endpoint, OrderKind kind) {
    lock.lock();
    try {
      FencePolicy policy = fences.getOrDefault(endpoint, FencePolicy.IGNORES);
      boolean permitted =
          planner.isOwned(endpoint) && keeper.mayOrder(clock.millis(), policy, kind);
      return permitted ? Optional.of(planner.table().fence()) : Optional.empty();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public boolean mayOthersServe() {
    lock.lock();
    try {
      return !membership.isEveryoneHeard();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the endpoints on which nothing new may start: those whose handover is under way, since
   * their next owner may already evict, and all once a newer process acts under this name.
   *
   * <p>An endpoint that the table gives to a former process of this daemon is not among them.
   * During an outage nobody can write a newer table; held, its requests would wait out the outage.
   * Serving what is resident gives no order, so it harms no other owner.
   */
  public Set<EndpointId> handingOver() {
    lock.lock();
    try {
      Set<EndpointId> paused = planner.table().ownedBy(self);
      if (keeper.standing(clock.millis()) != LeaseStanding.SUPERSEDED) {
        paused.removeIf(endpoint -> !planner.isHandingOver(endpoint));
      }
      return paused;
    } finally {
      lock.unlock();
    }
  }

  /** Returns the peers of the data centre that are heard from. */
  public Set<DaemonId> alive() {
    lock.lock();
    try {
      return membership.candidates();
    } finally {
      lock.unlock();
    }
  }

  /** Returns the daemons that the newest table of this data centre names. */
  public Set<DaemonId> owners() {
    return announced.daemons();
  }

  /** Returns how many endpoints the newest table gives to this daemon. */
  public int owned() {
    return announced.ownedBy(self).size();
  }

  /** Returns how this daemon's lease stands. */
  public LeaseStanding standing() {
    lock.lock();
    try {
      return keeper.standing(clock.millis());
    } finally {
      lock.unlock();
    }
  }

  @Override
  public long authorityUntil() {
    lock.lock();
    try {
      long now = clock.millis();
      // A lease that was renewed late counts here: the ledger's own write confirms it, as the
      // ownership table's does for orders.
      boolean held =
          EnumSet.of(LeaseStanding.VALID, LeaseStanding.LAPSED).contains(keeper.standing(now))
              && keeper.remainingMillis(now) > 0;
      return held ? now + keeper.remainingMillis(now) : Long.MIN_VALUE;
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Set<DaemonId> lapsed(Collection<DaemonId> daemons, long knownSince) {
    lock.lock();
    try {
      long now = clock.millis();
      List<DaemonId> here = daemons.stream().filter(peers::isNeighbour).toList();
      observer.toCheck(now, here, 0).forEach(this::readLease);
      Set<DaemonId> gone = new TreeSet<>(here);
      gone.removeIf(daemon -> !observer.hasLapsed(now, daemon, knownSince));
      return gone;
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether another daemon could take this one's endpoints over. */
  public boolean hasSuccessor() {
    lock.lock();
    try {
      return !membership.candidates().isEmpty() && !contact.isOut(clock.millis());
    } finally {
      lock.unlock();
    }
  }

  /** Begins to hand over everything that this daemon owns. */
  public void drain() {
    locked(
        () -> {
          if (!draining) {
            draining = true;
            keeper.drain(clock.millis());
          }
        });
  }

  /**
   * Gives the lease up for good, at the end of a planned stop: no order is given any more, and the
   * next process under this name has no predecessor to wait for.
   *
   * @return ends once the platform has answered, well or not
   */
  public CompletableFuture<Void> release() {
    OperationId operation;
    long version;
    lock.lock();
    try {
      keeper.release();
      version = keeper.version();
      operation = new OperationId("release/" + self + "/" + keeper.incarnation());
    } finally {
      lock.unlock();
    }
    // If a renewal is under way this conflicts, and the lease is left to run out.
    return platform.delete(LEASE, self.value(), version, operation).thenAccept(answer -> {});
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
