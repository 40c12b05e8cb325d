package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.process.Candidate;
import io.sequoiapass.coordination.process.DeputyRule;
import io.sequoiapass.coordination.process.FencePolicy;
import io.sequoiapass.coordination.process.LeaseKeeper;
import io.sequoiapass.coordination.process.LeaseObserver;
import io.sequoiapass.coordination.process.LeaseStanding;
import io.sequoiapass.coordination.process.Membership;
import io.sequoiapass.coordination.process.OrderKind;
import io.sequoiapass.coordination.process.OwnershipPlanner;
import io.sequoiapass.coordination.process.OwnershipProposal;
import io.sequoiapass.coordination.process.OwnershipSettings;
import io.sequoiapass.coordination.process.OwnershipTable;
import io.sequoiapass.coordination.process.PlatformContact;
import io.sequoiapass.coordination.process.ServingRole;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Holds the decision objects of one daemon's lease and ownership, and answers what takes several of
 * them.
 *
 * <p>Guarded by the lock of the {@link OwnershipNode}.
 */
final class OwnershipDecisions {

  private static final double EQUAL_WEIGHT = 1.0;
  private static final long NEVER_SERVED = -1;

  private final DaemonId self;
  private final DataCentreId dataCentre;
  private final PlatformContact contact;
  private final Membership membership;
  private final LeaseObserver observer;
  private final LeaseKeeper keeper;
  private final OwnershipPlanner planner;
  private final DeputyRule deputies;
  private ConfigurationSnapshot lastSnapshot;
  private List<EndpointRecord> records = List.of();
  private Set<EndpointId> endpoints = Set.of();
  private List<EndpointRecord> served = List.of();
  private long servedVersion = NEVER_SERVED;
  private ConfigurationSnapshot servedSnapshot;
  private Map<EndpointId, FencePolicy> fences = Map.of();

  OwnershipDecisions(
      DaemonIdentity identity, OwnershipTimes times, SplittableRandom random, long now) {
    this.self = identity.daemon();
    this.dataCentre = identity.dataCentre();
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
  }

  PlatformContact contact() {
    return contact;
  }

  Membership membership() {
    return membership;
  }

  LeaseObserver observer() {
    return observer;
  }

  LeaseKeeper keeper() {
    return keeper;
  }

  OwnershipPlanner planner() {
    return planner;
  }

  void endpointsAre(ConfigurationSnapshot snapshot) {
    if (snapshot == lastSnapshot) {
      return;
    }
    lastSnapshot = snapshot;
    records = snapshot.endpoints(dataCentre);
    Set<EndpointId> known = new TreeSet<>();
    Map<EndpointId, FencePolicy> policies = new HashMap<>();
    for (EndpointRecord endpoint : records) {
      known.add(endpoint.id());
      policies.put(endpoint.id(), endpoint.fencePolicy());
    }
    endpoints = known;
    fences = policies;
    planner.endpointsAre(known);
  }

  /** Returns who may be given endpoints. */
  Map<DaemonId, Candidate> candidates(long now) {
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

  /**
   * Returns the write of the ownership table that is due, if one is.
   *
   * @param now the time
   * @param plannedMoves whether moves that nothing but balance asks for are allowed
   * @param draining whether everything owned is to be handed over
   */
  Optional<OwnershipProposal> proposal(long now, boolean plannedMoves, boolean draining) {
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

  /** Returns the daemon that takes requests for an endpoint of this data centre. */
  Optional<DaemonId> server(long now, EndpointId endpoint) {
    return deputies.server(endpoint, planner.table(), membership, contact.isOut(now));
  }

  /**
   * Returns the endpoints that this daemon serves, as owner or as deputy. While the platform
   * answers there are no deputies, and the answer changes only with table and configuration: it is
   * asked for many times a second, and looking at each of 520 endpoints would cost as much.
   */
  List<EndpointRecord> served(long now) {
    OwnershipTable table = planner.table();
    if (contact.isOut(now)) {
      served = rolesOf(table, true);
      servedVersion = NEVER_SERVED;
    } else if (table.version() != servedVersion || lastSnapshot != servedSnapshot) {
      served = rolesOf(table, false);
      servedVersion = table.version();
      servedSnapshot = lastSnapshot;
    }
    return served;
  }

  private List<EndpointRecord> rolesOf(OwnershipTable table, boolean out) {
    return records.stream()
        .filter(
            endpoint -> deputies.role(endpoint.id(), table, membership, out) != ServingRole.NONE)
        .toList();
  }

  /** Returns whether this daemon may give an endpoint an order now. */
  boolean mayOrder(long now, EndpointId endpoint, OrderKind kind) {
    FencePolicy policy = fences.getOrDefault(endpoint, FencePolicy.IGNORES);
    return planner.isOwned(endpoint) && keeper.mayOrder(now, policy, kind);
  }

  /** Returns the endpoints on which nothing new may start. */
  Set<EndpointId> handingOver(long now) {
    if (keeper.standing(now) == LeaseStanding.SUPERSEDED) {
      return planner.table().ownedBy(self);
    }
    Set<EndpointId> paused = planner.handingOver();
    paused.removeIf(endpoint -> planner.table().owner(endpoint).filter(self::equals).isEmpty());
    return paused;
  }

  /** Returns until when the lease lets the ledger act. */
  long authorityUntil(long now) {
    // A lease that was renewed late counts here: the ledger's own write confirms it, as the
    // ownership table's does for orders.
    boolean held =
        EnumSet.of(LeaseStanding.VALID, LeaseStanding.LAPSED).contains(keeper.standing(now))
            && keeper.remainingMillis(now) > 0;
    return held ? now + keeper.remainingMillis(now) : Long.MIN_VALUE;
  }
}
