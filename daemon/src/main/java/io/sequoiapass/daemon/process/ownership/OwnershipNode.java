package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.FencingNumber;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.OperationId;
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
import io.sequoiapass.coordination.process.PlatformContact;
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
 * Keeps this daemon's lease, hears its peers, and takes part in its data centre's ownership table.
 *
 * <p>The decisions are those of {@link LeaseKeeper}, {@link Membership}, {@link LeaseObserver} and
 * {@link OwnershipPlanner}; this class carries their messages and calls. Safe for use by several
 * threads: one lock guards all decision objects, and no call is waited for under it.
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
  private final PlatformContact contact;
  private final Membership membership;
  private final LeaseObserver observer;
  private final LeaseKeeper keeper;
  private final OwnershipPlanner planner;
  private final Relays relays;
  private final Heartbeats heartbeats;
  private final OwnershipCalls calls;
  private LeaseStanding lastStanding = LeaseStanding.NOT_HELD;
  private long nextTableReadAt = Long.MIN_VALUE;
  private boolean readingTable;
  private boolean draining;
  private CompletableFuture<Void> lastRenewal;

  /**
   * Whether the last direct call was answered. A handover stops what it gives away until its write
   * is answered. One that was begun by a daemon which only its peers' relays keep in contact waits
   * as long as its link is down, and every request for those endpoints is held until its deadline.
   * Found by {@code OwnershipOutageTest}; no handover begins unless this holds, so what is left are
   * those begun between the cut and the next read of the table.
   */
  private boolean platformAnswers;

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
    this.peers = Objects.requireNonNull(peers, "peers");
    this.listener = Objects.requireNonNull(listener, "listener");
    long now = clock.millis();
    // Operation ids carry a number drawn here. Two processes of one name that drew the same would
    // each take the other's write for its own, so the seed has to differ even between two that
    // start in the same millisecond.
    SplittableRandom random = new SplittableRandom(new SecureRandom().nextLong());
    this.decisions = new OwnershipDecisions(identity, times, random, now);
    this.contact = decisions.contact();
    this.membership = decisions.membership();
    this.observer = decisions.observer();
    this.keeper = decisions.keeper();
    this.planner = decisions.planner();
    this.tables = new OwnershipTables(identity, peers, listener);
    this.heartbeats = new Heartbeats(decisions);
    this.calls = new OwnershipCalls(platform, dataCentre);
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
          decisions.endpointsAre(snapshot);
          keeper.dataCentreIs(new TreeSet<>(peers.neighbours()));
          keeper.tick(now).ifPresent(this::call);
          completeLastRenewal();
          peers.neighbours().forEach(peer -> membership.learned(now, peer, peers.hint(peer)));
          membership.tick(now).forEach(this::changed);
          membership.overdue(now).forEach(observer::fellSilent);
          readTable(now);
          keeper.tableSeen(planner.table().version());
          planner.candidatesAre(now, keeper.incarnation(), decisions.candidates(now));
          planner.leasesToCheck(now).forEach(this::readLease);
          decisions
              .proposal(now, plannedMoves && platformAnswers, draining && platformAnswers)
              .ifPresent(this::write);
          announce();
          tables.tick(now);
        });
  }

  private void announce() {
    LeaseStanding standing = keeper.standing(clock.millis());
    if (standing != lastStanding) {
      lastStanding = standing;
      listener.leaseStands(standing);
    }
    tables.known(planner.table());
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
    relays.carry(
        action,
        self,
        answered ->
            locked(
                () -> {
                  answered.accept(keeper);
                  completeLastRenewal();
                }));
  }

  private void readTable(long now) {
    if (readingTable || now < nextTableReadAt) {
      return;
    }
    readingTable = true;
    nextTableReadAt = now + times.tableReadMs();
    calls
        .readTable()
        .whenComplete(
            (table, failure) ->
                locked(
                    () -> {
                      readingTable = false;
                      platformAnswers = failure == null;
                      if (failure == null) {
                        contact.succeeded(clock.millis());
                        planner.tableSeen(clock.millis(), table);
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
                locked(
                    () -> {
                      if (failure == null) {
                        long now = clock.millis();
                        contact.succeeded(now);
                        observer.leaseRead(sentAt, now, holder, version);
                      }
                    }));
  }

  private void write(OwnershipProposal proposal) {
    calls.write(proposal).thenAccept(answer -> locked(() -> written(proposal.operation(), answer)));
  }

  private void written(OperationId operation, WriteAnswer answer) {
    platformAnswers = !(answer instanceof WriteAnswer.Lost);
    if (platformAnswers) {
      contact.succeeded(clock.millis());
    }
    planner.answered(clock.millis(), operation, answer);
    tables.known(planner.table()).ifPresent(tables::broadcast);
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
    return reading(
        () -> heartbeats.write(clock.millis(), peer, draining, configuration, weightDemand));
  }

  /**
   * Returns whether peers are to be sent a heartbeat at once, since the lease was renewed after the
   * last one. A renewal that no heartbeat carried is learned only by reading the lease once this
   * daemon is silent, which starts the lease anew and delays the takeover.
   */
  public boolean isHeartbeatDue() {
    return reading(() -> heartbeats.isDue());
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
      locked(() -> tableLearned(tables.received(push)));
    } else if (message instanceof PeerMessage.TableDelta push) {
      locked(() -> tableLearned(tables.received(push)));
    } else if (message instanceof PeerMessage.TableRequest request) {
      locked(() -> tables.asked(peer, request.knownVersion()));
    } else if (message instanceof PeerMessage.RelayCall call) {
      relays.serve(peer, call);
    } else if (message instanceof PeerMessage.RelayAnswer answer) {
      relays.answered(answer);
    }
  }

  private void heard(DaemonId peer, PeerMessage.Heartbeat beat) {
    tables.versionSeen(peer, beat.platform().tableVersion());
    if (peers.isNeighbour(peer)) {
      heartbeats.heard(clock.millis(), peer, beat).ifPresent(this::changed);
    }
  }

  private void tableLearned(boolean newer) {
    // Not before one is known: a planner that was told of an empty table takes it for the
    // platform's.
    if (newer) {
      planner.tableSeen(clock.millis(), tables.of(dataCentre));
    }
  }

  // What others ask.

  /**
   * Returns the daemon that takes requests for an endpoint: its owner, or its deputy in an outage.
   *
   * @param endpoint the endpoint
   */
  public Optional<DaemonId> server(EndpointRecord endpoint) {
    if (!endpoint.dataCentre().equals(dataCentre)) {
      return tables.of(endpoint.dataCentre()).owner(endpoint.id());
    }
    return reading(() -> decisions.server(clock.millis(), endpoint.id()));
  }

  /** Returns the endpoints that this daemon serves, as owner or as deputy. */
  public List<EndpointRecord> served() {
    return reading(() -> decisions.served(clock.millis()));
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
    return reading(() -> !membership.isEveryoneHeard());
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
    return reading(() -> decisions.handingOver(clock.millis()));
  }

  /** Returns the peers of the data centre that are heard from. */
  public Set<DaemonId> alive() {
    return reading(() -> membership.candidates());
  }

  /** Returns the daemons that the newest table of this data centre names. */
  public Set<DaemonId> owners() {
    return tables.of(dataCentre).daemons();
  }

  /** Returns how many endpoints the newest table gives to this daemon. */
  public int owned() {
    return tables.of(dataCentre).ownedBy(self).size();
  }

  /** Returns how this daemon's lease stands. */
  public LeaseStanding standing() {
    return reading(() -> keeper.standing(clock.millis()));
  }

  @Override
  public long authorityUntil() {
    return reading(() -> decisions.authorityUntil(clock.millis()));
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
    return reading(
        () ->
            platformAnswers
                && !membership.candidates().isEmpty()
                && !contact.isOut(clock.millis()));
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
    CompletableFuture<Void> settled = new CompletableFuture<>();
    locked(
        () -> {
          keeper.release();
          lastRenewal = settled;
          completeLastRenewal();
        });
    return settled.thenCompose(done -> deleteLease());
  }

  /** A deletion beside a renewal would conflict with it, and the lease would be left. */
  private void completeLastRenewal() {
    if (lastRenewal != null && !keeper.isRenewalOpen()) {
      lastRenewal.complete(null);
    }
  }

  private CompletableFuture<Void> deleteLease() {
    return reading(
        () -> {
          OperationId operation = new OperationId("release/" + self + "/" + keeper.incarnation());
          return calls.deleteLease(self, keeper.version(), operation);
        });
  }

  private <T> T reading(Supplier<T> question) {
    lock.lock();
    try {
      return question.get();
    } finally {
      lock.unlock();
    }
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
