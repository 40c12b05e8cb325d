package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.version.WriteAnswer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/** Daemon process of a simulated data centre: the decision objects and their driver. */
final class SimulatedDaemon {

  private static final long TABLE_READ_INTERVAL_MILLIS = 2_000;

  final DaemonId id;
  final int process;
  final LeaseManager leaseManager;
  final OwnershipPlanner planner;
  private final SimulatedDataCentre world;
  private final Membership membership;
  private final PlatformConnectivity contact;
  private final LeaseObserver observer;
  private final Map<DaemonId, Long> echoes = new HashMap<>();
  private final long clockOffset;
  private final long clockPermille;
  private long nextHeartbeat;
  private long nextTableRead;
  boolean frozen;
  boolean cutFromPlatform;
  boolean draining;

  SimulatedDaemon(
      SimulatedDataCentre world, DaemonId id, int process, int index, SplittableRandom random) {
    this.world = world;
    this.id = id;
    this.process = process;
    this.clockOffset = 1_000_000L * (index + 1);
    this.clockPermille = 990 + 10L * (index % 3);
    long now = now();
    this.contact = PlatformConnectivity.create(LeaseSettings.DEFAULT, now);
    this.membership = Membership.create(MembershipSettings.DEFAULT, now);
    this.observer = LeaseObserver.create(LeaseSettings.DEFAULT, contact);
    this.leaseManager =
        LeaseManager.create(
            LeaseSettings.DEFAULT, id, "127.0.0.1:1", process, random.split(), contact, now);
    leaseManager.setMembers(world.names());
    this.planner =
        OwnershipPlanner.create(
            OwnershipSettings.DEFAULT,
            new DataCentreId("yard-north"),
            id,
            observer,
            random.split());
    planner.setEndpoints(world.endpoints());
  }

  long now() {
    return clockOffset + world.time() * clockPermille / 1_000;
  }

  void step() {
    long now = now();
    leaseManager.tick(now).ifPresent(this::call);
    membership.tick(now).stream()
        .filter(change -> change.to() == MemberState.SUSPECT)
        .forEach(change -> observer.heartbeatMissed(change.daemon()));
    sendHeartbeats(now);
    readTable(now);
    leaseManager.tableVersionReceived(planner.table().version());
    planner.setCandidates(now, leaseManager.incarnation(), candidates(now));
    planner.leasesToCheck(now).forEach(this::readLease);
    proposal(now).ifPresent(this::write);
    sendOrders(now);
  }

  private Map<DaemonId, Candidate> candidates(long now) {
    Map<DaemonId, Candidate> found = new HashMap<>();
    membership.candidates().stream()
        .filter(peer -> observer.isLive(now, peer))
        .forEach(peer -> found.put(peer, new Candidate(1.0, membership.incarnation(peer))));
    if (leaseManager.isCandidate(now)) {
      found.put(id, new Candidate(1.0, leaseManager.incarnation()));
    }
    return found;
  }

  private Optional<OwnershipProposal> proposal(long now) {
    Optional<OwnershipProposal> found = planner.retry(now);
    if (found.isEmpty() && (leaseManager.needsNewerTable(now) || planner.needsConfirmation())) {
      found = planner.confirm(now);
    }
    if (found.isEmpty()) {
      found = planner.takeOver(now);
    }
    if (found.isEmpty() && leaseManager.mayHandOver(now)) {
      found = draining ? planner.handOver(now, world.endpoints()) : planner.rebalance(now);
    }
    return found;
  }

  void drain() {
    draining = true;
    leaseManager.drain(now());
  }

  private void sendOrders(long now) {
    for (EndpointId endpoint : world.endpoints()) {
      if (planner.isOwned(endpoint)
          && leaseManager.mayOrder(now, world.policy(endpoint), OrderKind.UNLOAD)) {
        world.recordOrder(this, endpoint, planner.table().fence().value());
      }
    }
  }

  private void sendHeartbeats(long now) {
    if (now < nextHeartbeat) {
      return;
    }
    nextHeartbeat = now + MembershipSettings.DEFAULT.heartbeatIntervalMillis();
    boolean out = contact.isOut(now) && !planner.isWritePending();
    MemberState state = draining ? MemberState.DRAINING : MemberState.ALIVE;
    OwnershipTable table = planner.table();
    long lease = leaseManager.version();
    long incarnation = leaseManager.incarnation();
    for (DaemonId peer : world.names()) {
      PlatformReport report =
          new PlatformReport(
              out, table.version(), lease, echoes.getOrDefault(peer, Long.MIN_VALUE / 2));
      world.send(this, peer, to -> to.receiveHeartbeat(id, incarnation, state, report, table, now));
    }
  }

  private void receiveHeartbeat(
      DaemonId peer,
      long incarnation,
      MemberState state,
      PlatformReport report,
      OwnershipTable table,
      long sentAt) {
    long now = now();
    membership.heartbeatReceived(now, peer, incarnation, state);
    leaseManager.peerReported(peer, report);
    observer.leaseVersionReceived(now, peer, report.leaseVersion());
    planner.tableReceived(now, table);
    echoes.merge(peer, sentAt, Math::max);
  }

  private void readTable(long now) {
    if (now < nextTableRead) {
      return;
    }
    nextTableRead = now + TABLE_READ_INTERVAL_MILLIS;
    world.call(
        this,
        Optional.empty(),
        SimulatedPlatform::table,
        table -> {
          contact.succeeded(now());
          planner.tableReceived(now(), table);
        },
        () -> {});
  }

  private void readLease(DaemonId holder) {
    long sentAt = now();
    world.call(
        this,
        Optional.empty(),
        platform ->
            platform.read("lease/" + holder).map(SimulatedPlatform.Stored::version).orElse(0L),
        version -> {
          contact.succeeded(now());
          observer.leaseRead(sentAt, now(), holder, version);
        },
        () -> {});
  }

  private void call(LeaseAction action) {
    String name = "lease/" + id;
    if (action instanceof LeaseAction.Renew renew) {
      world.call(
          this,
          renew.relay(),
          platform ->
              platform.write(name, renew.operation(), renew.expectedVersion(), renew.lease()),
          answer -> {
            leaseManager.renewalAnswered(now(), renew.operation(), answer);
            nextHeartbeat = now();
          },
          () -> leaseManager.renewalAnswered(now(), renew.operation(), new WriteAnswer.Lost()));
      return;
    }
    world.call(
        this,
        action.relay(),
        platform ->
            platform
                .read(name)
                .map(found -> new StoredLease(found.version(), (LeaseRecord) found.value())),
        stored -> leaseManager.readAnswered(now(), stored),
        () -> leaseManager.readFailed(now()));
  }

  private void write(OwnershipProposal proposal) {
    world.call(
        this,
        Optional.empty(),
        platform ->
            platform.write(
                SimulatedDataCentre.TABLE,
                proposal.operation(),
                proposal.expectedVersion(),
                proposal.table()),
        answer -> {
          contact.succeeded(now());
          planner.writeAnswered(now(), proposal.operation(), answer);
        },
        () -> planner.writeAnswered(now(), proposal.operation(), new WriteAnswer.Lost()));
  }
}
