package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.process.BackupOwnerSelector;
import io.sequoiapass.coordination.process.Candidate;
import io.sequoiapass.coordination.process.FencePolicy;
import io.sequoiapass.coordination.process.LeaseManager;
import io.sequoiapass.coordination.process.LeaseObserver;
import io.sequoiapass.coordination.process.LeaseStatus;
import io.sequoiapass.coordination.process.Membership;
import io.sequoiapass.coordination.process.OrderKind;
import io.sequoiapass.coordination.process.OwnershipPlanner;
import io.sequoiapass.coordination.process.OwnershipProposal;
import io.sequoiapass.coordination.process.OwnershipSettings;
import io.sequoiapass.coordination.process.OwnershipTable;
import io.sequoiapass.coordination.process.PlatformConnectivity;
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
 * Decision objects for one daemon's lease and ownership, and the decisions that combine several of
 * them.
 *
 * <p>Guarded by the lock of the {@link OwnershipNode}.
 */
final class OwnershipDecisions {

  private static final double EQUAL_WEIGHT = 1.0;
  private static final long NEVER_SERVED = -1;

  private final DaemonId self;
  private final DataCentreId dataCentre;
  private final PlatformConnectivity connectivity;
  private final Membership membership;
  private final LeaseObserver observer;
  private final LeaseManager leaseManager;
  private final OwnershipPlanner planner;
  private final BackupOwnerSelector backupOwners;
  private ConfigurationSnapshot lastSnapshot;
  private List<EndpointRecord> records = List.of();
  private Set<EndpointId> endpoints = Set.of();
  private List<EndpointRecord> served = List.of();
  private long servedVersion = NEVER_SERVED;
  private ConfigurationSnapshot servedSnapshot;
  private Map<EndpointId, FencePolicy> fencePolicies = Map.of();

  OwnershipDecisions(
      DaemonIdentity identity, OwnershipTimes times, SplittableRandom random, long now) {
    this.self = identity.daemon();
    this.dataCentre = identity.dataCentre();
    this.connectivity = PlatformConnectivity.create(times.lease(), now);
    this.membership = Membership.create(times.membership(), now);
    this.observer = LeaseObserver.create(times.lease(), connectivity);
    this.leaseManager =
        LeaseManager.create(
            times.lease(),
            self,
            identity.peerAddress(),
            identity.incarnation(),
            random.split(),
            connectivity,
            now);
    this.planner =
        OwnershipPlanner.create(
            OwnershipSettings.DEFAULT, dataCentre, self, observer, random.split());
    this.backupOwners = BackupOwnerSelector.create(self);
  }

  PlatformConnectivity connectivity() {
    return connectivity;
  }

  Membership membership() {
    return membership;
  }

  LeaseObserver observer() {
    return observer;
  }

  LeaseManager leaseManager() {
    return leaseManager;
  }

  OwnershipPlanner planner() {
    return planner;
  }

  void updateEndpoints(ConfigurationSnapshot snapshot) {
    if (snapshot == lastSnapshot) {
      return;
    }
    lastSnapshot = snapshot;
    records = snapshot.endpoints(dataCentre);
    Set<EndpointId> ids = new TreeSet<>();
    Map<EndpointId, FencePolicy> policies = new HashMap<>();
    for (EndpointRecord endpoint : records) {
      ids.add(endpoint.id());
      policies.put(endpoint.id(), endpoint.fencePolicy());
    }
    endpoints = ids;
    fencePolicies = policies;
    planner.setEndpoints(ids);
  }

  /** Returns the daemons that may be assigned endpoints. */
  Map<DaemonId, Candidate> candidates(long now) {
    Map<DaemonId, Candidate> found = new HashMap<>();
    membership.candidates().stream()
        .filter(peer -> observer.isLive(now, peer))
        .forEach(
            peer -> found.put(peer, new Candidate(EQUAL_WEIGHT, membership.incarnation(peer))));
    if (leaseManager.isCandidate(now)) {
      found.put(self, new Candidate(EQUAL_WEIGHT, leaseManager.incarnation()));
    }
    return found;
  }

  /**
   * Returns the next write of the ownership table, if one is due.
   *
   * @param now the time
   * @param plannedMoves whether moves made only for load balance are allowed
   * @param draining whether all owned endpoints are to be handed over
   */
  Optional<OwnershipProposal> proposal(long now, boolean plannedMoves, boolean draining) {
    Optional<OwnershipProposal> found = planner.retry(now);
    if (found.isEmpty() && (leaseManager.needsNewerTable(now) || planner.needsConfirmation())) {
      found = planner.confirm(now);
    }
    if (found.isEmpty()) {
      found = planner.takeOver(now);
    }
    if (found.isPresent() || !leaseManager.mayHandOver(now)) {
      return found;
    }
    if (draining) {
      return planner.handOver(now, endpoints);
    }
    return plannedMoves ? planner.rebalance(now) : Optional.empty();
  }

  /** Returns the daemon that accepts requests for an endpoint of this data centre. */
  Optional<DaemonId> servingDaemon(long now, EndpointId endpoint) {
    return backupOwners.servingDaemon(
        endpoint, planner.table(), membership, connectivity.isOut(now));
  }

  /**
   * Returns the endpoints that this daemon serves as owner or backup owner. While the platform
   * answers there are no backup owners and the result depends only on the table and the
   * configuration, so it is cached: the method is called many times per second, and each call would
   * otherwise examine 520 endpoints.
   */
  List<EndpointRecord> served(long now) {
    OwnershipTable table = planner.table();
    if (connectivity.isOut(now)) {
      served = endpointsServed(table, true);
      servedVersion = NEVER_SERVED;
    } else if (table.version() != servedVersion || lastSnapshot != servedSnapshot) {
      served = endpointsServed(table, false);
      servedVersion = table.version();
      servedSnapshot = lastSnapshot;
    }
    return served;
  }

  private List<EndpointRecord> endpointsServed(OwnershipTable table, boolean out) {
    return records.stream()
        .filter(
            endpoint ->
                backupOwners.role(endpoint.id(), table, membership, out) != ServingRole.NONE)
        .toList();
  }

  /** Returns whether this daemon may send an order to an endpoint. */
  boolean mayOrder(long now, EndpointId endpoint, OrderKind kind) {
    FencePolicy policy = fencePolicies.getOrDefault(endpoint, FencePolicy.IGNORES);
    return planner.isOwned(endpoint) && leaseManager.mayOrder(now, policy, kind);
  }

  /** Returns the endpoints on which no new request may start. */
  Set<EndpointId> handingOver(long now) {
    if (leaseManager.status(now) == LeaseStatus.SUPERSEDED) {
      return planner.table().ownedBy(self);
    }
    Set<EndpointId> paused = planner.handingOver();
    paused.removeIf(endpoint -> planner.table().owner(endpoint).filter(self::equals).isEmpty());
    return paused;
  }

  /** Returns the time until which the lease authorizes the idempotency ledger to act. */
  long authorityUntil(long now) {
    // A lease that was renewed late is sufficient here: the ledger's own write confirms it, as the
    // write of the ownership table does for orders.
    boolean held =
        EnumSet.of(LeaseStatus.VALID, LeaseStatus.LAPSED).contains(leaseManager.status(now))
            && leaseManager.remainingMillis(now) > 0;
    return held ? now + leaseManager.remainingMillis(now) : Long.MIN_VALUE;
  }
}
