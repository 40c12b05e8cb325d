package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.FencingNumber;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.process.LeaseAction;
import io.sequoiapass.coordination.process.LeaseManager;
import io.sequoiapass.coordination.process.LeaseObserver;
import io.sequoiapass.coordination.process.LeaseStatus;
import io.sequoiapass.coordination.process.MemberState;
import io.sequoiapass.coordination.process.Membership;
import io.sequoiapass.coordination.process.MembershipChange;
import io.sequoiapass.coordination.process.OrderKind;
import io.sequoiapass.coordination.process.OwnershipPlanner;
import io.sequoiapass.coordination.process.OwnershipProposal;
import io.sequoiapass.coordination.process.PlatformConnectivity;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.coordination.version.WriteAnswer;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import io.sequoiapass.daemon.process.ledger.LedgerLeases;
import io.sequoiapass.daemon.process.owner.OrderGate;
import java.security.SecureRandom;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * Maintains this daemon's lease, its membership view and its replica of the data centre's ownership
 * table.
 *
 * <p>The decisions are made by {@link LeaseManager}, {@link Membership}, {@link LeaseObserver} and
 * {@link OwnershipPlanner}; this class performs their messaging and platform calls. Safe for use by
 * several threads: one lock guards all decision objects, and no thread waits for a call while
 * holding it.
 */
public final class OwnershipNode implements OrderGate, LedgerLeases {

  private final ReentrantLock lock = new ReentrantLock();
  private final OwnershipTimes times;
  private final DaemonId self;
  private final DataCentreId dataCentre;
  private final MillisClock clock;
  private final OwnershipPeers peers;
  private final OwnershipListener listener;
  private final OwnershipDecisions decisions;
  private final OwnershipTables tables;
  private final PlatformConnectivity connectivity;
  private final Membership membership;
  private final LeaseObserver observer;
  private final LeaseManager leaseManager;
  private final OwnershipPlanner planner;
  private final Relays relays;
  private final Heartbeats heartbeats;
  private final OwnershipCalls calls;
  private LeaseStatus lastStatus = LeaseStatus.NOT_HELD;
  private long nextTableReadAt = Long.MIN_VALUE;
  private boolean tableReadInFlight;
  private boolean draining;
  private CompletableFuture<Void> renewalBeforeRelease;

  /**
   * Whether the last direct call to the platform was answered. A handover pauses its endpoints
   * until the write of the table is answered. A daemon that reaches the platform only through
   * relays would wait for as long as its own link is down, and every request for those endpoints
   * would be held until its deadline ({@code OwnershipOutageTest} covers this). No handover starts
   * unless this is true, which leaves only those started between the loss of the link and the next
   * read of the table.
   */
  private boolean platformReachable;

  /**
   * Creates a node without a lease or a table.
   *
   * @param identity the identity of this daemon
   * @param times timing of leases, heartbeats and table reads
   * @param clock the clock for all intervals and timeouts
   * @param platform the platform
   * @param peers sends messages to the other daemons
   * @param listener notified of changes
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
    this.peers = Objects.requireNonNull(peers, "peers");
    this.listener = Objects.requireNonNull(listener, "listener");
    long now = clock.millis();
    // Operation ids contain a random number. If two processes of the same name drew the same
    // number, each would mistake the other's write for its own, so the seeds must differ even if
    // both start in the same millisecond.
    SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
    this.decisions = new OwnershipDecisions(identity, times, random, now);
    this.connectivity = decisions.connectivity();
    this.membership = decisions.membership();
    this.observer = decisions.observer();
    this.leaseManager = decisions.leaseManager();
    this.planner = decisions.planner();
    this.tables = new OwnershipTables(identity, peers, listener);
    this.heartbeats = new Heartbeats(decisions);
    this.calls = new OwnershipCalls(platform, dataCentre);
    this.relays = new Relays(platform, peers, clock);
  }

  // Timer.

  /**
   * Processes everything that is due: lease renewal, membership timeouts, table reads and ownership
   * proposals.
   *
   * @param snapshot the current configuration
   * @param plannedMoves whether the preset in force allows moves made only for load balance
   */
  public void tick(ConfigurationSnapshot snapshot, boolean plannedMoves) {
    runLocked(
        () -> {
          long now = clock.millis();
          decisions.updateEndpoints(snapshot);
          leaseManager.setMembers(new TreeSet<>(peers.neighbours()));
          leaseManager.tick(now).ifPresent(this::sendLeaseCall);
          completeRenewalBeforeRelease();
          peers.neighbours().forEach(peer -> membership.addPeer(now, peer, peers.hint(peer)));
          membership.tick(now).forEach(this::memberChanged);
          membership.overdue(now).forEach(observer::heartbeatMissed);
          readTable(now);
          leaseManager.tableVersionReceived(planner.table().version());
          planner.setCandidates(now, leaseManager.incarnation(), decisions.candidates(now));
          planner.leasesToCheck(now).forEach(this::readLease);
          decisions
              .proposal(now, plannedMoves && platformReachable, draining && platformReachable)
              .ifPresent(this::write);
          announce();
          tables.tick(now);
        });
  }

  private void announce() {
    LeaseStatus status = leaseManager.status(clock.millis());
    if (status != lastStatus) {
      lastStatus = status;
      listener.leaseStatusChanged(status);
    }
    tables.update(planner.table());
  }

  private void memberChanged(MembershipChange change) {
    listener.memberChanged(change);
    if (change.to() == MemberState.SUSPECT) {
      observer.heartbeatMissed(change.daemon());
    }
    if (change.to() == MemberState.DEAD) {
      listener.peerDead(change.daemon());
    }
  }

  // The platform.

  private void sendLeaseCall(LeaseAction action) {
    relays.send(
        action,
        self,
        answered ->
            runLocked(
                () -> {
                  answered.accept(leaseManager);
                  completeRenewalBeforeRelease();
                }));
  }

  private void readTable(long now) {
    if (tableReadInFlight || now < nextTableReadAt) {
      return;
    }
    tableReadInFlight = true;
    nextTableReadAt = now + times.tableReadMs();
    calls
        .readTable()
        .whenComplete(
            (table, failure) ->
                runLocked(
                    () -> {
                      tableReadInFlight = false;
                      platformReachable = failure == null;
                      if (failure == null) {
                        connectivity.succeeded(clock.millis());
                        planner.tableReceived(clock.millis(), table);
                        announce();
                      }
                    }));
  }

  private void readLease(DaemonId holder) {
    long sentAt = clock.millis();
    calls
        .readLeaseVersion(holder)
        .whenComplete(
            (version, failure) ->
                runLocked(
                    () -> {
                      if (failure == null) {
                        long now = clock.millis();
                        connectivity.succeeded(now);
                        observer.leaseRead(sentAt, now, holder, version);
                      }
                    }));
  }

  private void write(OwnershipProposal proposal) {
    calls
        .write(proposal)
        .thenAccept(answer -> runLocked(() -> written(proposal.operation(), answer)));
  }

  private void written(OperationId operation, WriteAnswer answer) {
    platformReachable = !(answer instanceof WriteAnswer.Lost);
    if (platformReachable) {
      connectivity.succeeded(clock.millis());
    }
    planner.writeAnswered(clock.millis(), operation, answer);
    tables.update(planner.table()).ifPresent(tables::broadcast);
    if (answer instanceof WriteAnswer.Conflict) {
      nextTableReadAt = Long.MIN_VALUE;
    }
  }

  // Peers.

  /**
   * Returns a heartbeat for a peer.
   *
   * @param peer the peer
   * @param configuration the digest of the configuration held
   * @param weightDemand the number of loads that this daemon waits for
   */
  public PeerMessage.Heartbeat heartbeat(DaemonId peer, long configuration, int weightDemand) {
    return supplyLocked(
        () -> heartbeats.create(clock.millis(), peer, draining, configuration, weightDemand));
  }

  /**
   * Returns whether a heartbeat must be sent to the peers immediately, because the lease was
   * renewed since the last one. If this daemon failed before its heartbeats carried the renewal,
   * peers would detect it only by reading the lease afterwards; that restarts their expiry timer
   * and delays the takeover.
   */
  public boolean isHeartbeatDue() {
    return supplyLocked(() -> heartbeats.isDue());
  }

  /**
   * Processes a control message of a peer.
   *
   * @param peer the peer
   * @param message the message
   */
  public void received(DaemonId peer, PeerMessage message) {
    if (message instanceof PeerMessage.Heartbeat beat) {
      runLocked(() -> heartbeatReceived(peer, beat));
    } else if (message instanceof PeerMessage.TablePush push) {
      runLocked(() -> tableReceived(tables.received(push)));
    } else if (message instanceof PeerMessage.TableDelta push) {
      runLocked(() -> tableReceived(tables.received(push)));
    } else if (message instanceof PeerMessage.TableRequest request) {
      runLocked(() -> tables.tableRequested(peer, request.knownVersion()));
    } else if (message instanceof PeerMessage.RelayCall call) {
      relays.serve(peer, call);
    } else if (message instanceof PeerMessage.RelayAnswer answer) {
      relays.answered(answer);
    }
  }

  private void heartbeatReceived(DaemonId peer, PeerMessage.Heartbeat beat) {
    tables.peerVersionReceived(peer, beat.platform().tableVersion());
    if (peers.isNeighbour(peer)) {
      heartbeats.received(clock.millis(), peer, beat).ifPresent(this::memberChanged);
    }
  }

  private void tableReceived(boolean newer) {
    // Skipped until a table has been received, since the planner would take an empty table for the
    // platform's.
    if (newer) {
      planner.tableReceived(clock.millis(), tables.of(dataCentre));
    }
  }

  // Queries and stop.

  /**
   * Returns the daemon that accepts requests for an endpoint: its owner, or its backup owner in a
   * platform outage.
   *
   * @param endpoint the endpoint
   */
  public Optional<DaemonId> servingDaemon(EndpointRecord endpoint) {
    if (!endpoint.dataCentre().equals(dataCentre)) {
      return tables.of(endpoint.dataCentre()).owner(endpoint.id());
    }
    return supplyLocked(() -> decisions.servingDaemon(clock.millis(), endpoint.id()));
  }

  /** Returns the endpoints that this daemon serves as owner or backup owner. */
  public List<EndpointRecord> served() {
    return supplyLocked(() -> decisions.served(clock.millis()));
  }

  @Override
  public Optional<FencingNumber> permit(EndpointId endpoint, OrderKind kind) {
    lock.lock();
    try {
      boolean permitted = decisions.mayOrder(clock.millis(), endpoint, kind);
      return permitted ? Optional.of(planner.table().fence()) : Optional.empty();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public boolean mayOthersServe() {
    return supplyLocked(() -> !membership.isEveryPeerReachable());
  }

  /**
   * Returns the endpoints on which no new request may start: those with a handover in progress,
   * since the next owner may already evict adapters, and all of them once a newer process runs
   * under this daemon's name.
   *
   * <p>Endpoints that the table assigns to a previous incarnation of this daemon are not included.
   * No newer table can be written during an outage, so holding their requests would delay them
   * until its end. Serving resident adapters sends no orders, so it cannot interfere with another
   * owner.
   */
  public Set<EndpointId> handingOver() {
    return supplyLocked(() -> decisions.handingOver(clock.millis()));
  }

  /** Returns the live peers of the data centre. */
  public Set<DaemonId> alive() {
    return supplyLocked(() -> membership.candidates());
  }

  /** Returns the daemons in the newest table of this data centre. */
  public Set<DaemonId> owners() {
    return tables.of(dataCentre).daemons();
  }

  /** Returns the number of endpoints that the newest table assigns to this daemon. */
  public int owned() {
    return tables.of(dataCentre).ownedBy(self).size();
  }

  /** Returns the status of this daemon's lease. */
  public LeaseStatus leaseStatus() {
    return supplyLocked(() -> leaseManager.status(clock.millis()));
  }

  @Override
  public long authorityUntil() {
    return supplyLocked(() -> decisions.authorityUntil(clock.millis()));
  }

  @Override
  public Set<DaemonId> expired(Collection<DaemonId> daemons, long knownSince) {
    lock.lock();
    try {
      long now = clock.millis();
      List<DaemonId> neighbours = daemons.stream().filter(peers::isNeighbour).toList();
      observer.leasesToCheck(now, neighbours, 0).forEach(this::readLease);
      Set<DaemonId> expired = new TreeSet<>(neighbours);
      expired.removeIf(daemon -> !observer.hasExpired(now, daemon, knownSince));
      return expired;
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether another daemon could take over this daemon's endpoints. */
  public boolean hasSuccessor() {
    return supplyLocked(
        () ->
            platformReachable
                && !membership.candidates().isEmpty()
                && !connectivity.isOut(clock.millis()));
  }

  /** Starts to hand over all endpoints that this daemon owns. */
  public void drain() {
    runLocked(
        () -> {
          if (!draining) {
            draining = true;
            leaseManager.drain(clock.millis());
          }
        });
  }

  /**
   * Releases the lease permanently at the end of a planned stop. Afterwards no order is sent, and
   * the next process under this name need not wait for the lease to expire.
   *
   * @return completes once the platform has answered or the call has failed
   */
  public CompletableFuture<Void> release() {
    CompletableFuture<Void> renewalDone = new CompletableFuture<>();
    runLocked(
        () -> {
          leaseManager.release();
          renewalBeforeRelease = renewalDone;
          completeRenewalBeforeRelease();
        });
    return renewalDone.thenCompose(done -> deleteLease());
  }

  /**
   * Defers the deletion until no renewal is in flight; a concurrent renewal would conflict with it,
   * and the lease would not be deleted.
   */
  private void completeRenewalBeforeRelease() {
    if (renewalBeforeRelease != null && !leaseManager.isRenewalInFlight()) {
      renewalBeforeRelease.complete(null);
    }
  }

  private CompletableFuture<Void> deleteLease() {
    return supplyLocked(
        () -> {
          OperationId operation =
              new OperationId("release/" + self + "/" + leaseManager.incarnation());
          return calls.deleteLease(self, leaseManager.version(), operation);
        });
  }

  private <T> T supplyLocked(Supplier<T> supplier) {
    lock.lock();
    try {
      return supplier.get();
    } finally {
      lock.unlock();
    }
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
