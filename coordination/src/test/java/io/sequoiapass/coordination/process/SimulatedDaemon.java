package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.version.WriteAnswer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/** One daemon process of a simulated data centre: the decision objects and a driver for them. */
final class SimulatedDaemon {

  private static final long TABLE_EVERY_MILLIS = 2_000;

  final DaemonId id;
  final int process;
  final LeaseKeeper keeper;
  final OwnershipPlanner planner;
  private final SimulatedDataCentre world;
  private final Membership membership;
  private final PlatformContact contact;
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
      SimulatedDataCentre world, DaemonId id, int process, int place, SplittableRandom random) {
    this.world = world;
    this.id = id;
    this.process = process;
    this.clockOffset = 1_000_000L * (place + 1);
    this.clockPermille = 990 + 10L * (place % 3);
    long now = now();
    this.contact = PlatformContact.create(LeaseSettings.DEFAULT, now);
    this.membership = Membership.create(MembershipSettings.DEFAULT, now);
    this.observer = LeaseObserver.create(LeaseSettings.DEFAULT, contact);
    this.keeper =
        LeaseKeeper.create(
            LeaseSettings.DEFAULT, id, "127.0.0.1:1", process, random.split(), contact, now);
    keeper.dataCentreIs(world.names());
    this.planner =
        OwnershipPlanner.create(
            OwnershipSettings.DEFAULT,
            new DataCentreId("yard-north"),
            id,
            observer,
            random.split());
    planner.endpointsAre(world.endpoints());
  }

  long now() {
    return clockOffset + world.time() * clockPermille / 1_000;
  }

  void step() {
    long now = now();
    keeper.tick(now).ifPresent(this::call);
    membership.tick(now).stream()
        .filter(change -> change.to() == MemberState.SUSPECT)
        .forEach(change -> observer.fellSilent(change.daemon()));
    heartbeats(now);
    readTable(now);
    keeper.tableSeen(planner.table().version());
    planner.candidatesAre(now, keeper.incarnation(), candidates(now));
    planner.leasesToCheck(now).forEach(this::readLease);
    proposal(now).ifPresent(this::write);
    orders(now);
  }

  private Map<DaemonId, Candidate> candidates(long now) {
    Map<DaemonId, Candidate> found = new HashMap<>();
    membership.candidates().stream()
        .filter(peer -> observer.isLive(now, peer))
        .forEach(peer -> found.put(peer, new Candidate(1.0, membership.incarnation(peer))));
    if (keeper.isCandidate(now)) {
      found.put(id, new Candidate(1.0, keeper.incarnation()));
    }
    return found;
  }

  private Optional<OwnershipProposal> proposal(long now) {
    Optional<OwnershipProposal> found = planner.retry(now);
    if (found.isEmpty() && (keeper.needsTable(now) || planner.needsConfirmation())) {
      found = planner.confirm(now);
    }
    if (found.isEmpty()) {
      found = planner.takeOver(now);
    }
    if (found.isEmpty() && keeper.mayHandOver(now)) {
      found = draining ? planner.handOver(now, world.endpoints()) : planner.rebalance(now);
    }
    return found;
  }

  void drain() {
    draining = true;
    keeper.drain(now());
  }

  private void orders(long now) {
    for (EndpointId endpoint : world.endpoints()) {
      if (planner.isOwned(endpoint)
          && keeper.mayOrder(now, world.policy(endpoint), OrderKind.UNLOAD)) {
        world.ordered(this, endpoint, planner.table().fence().value());
      }
    }
  }

  private void heartbeats(long now) {
    if (now < nextHeartbeat) {
      return;
    }
    nextHeartbeat = now + MembershipSettings.DEFAULT.heartbeatEveryMillis();
    boolean out = contact.isOut(now) && !planner.isWritePending();
    MemberState said = draining ? MemberState.DRAINING : MemberState.ALIVE;
    OwnershipTable table = planner.table();
    long lease = keeper.version();
    long incarnation = keeper.incarnation();
    for (DaemonId peer : world.names()) {
      PlatformReport report =
          new PlatformReport(
              out, table.version(), lease, echoes.getOrDefault(peer, Long.MIN_VALUE / 2));
      world.send(this, peer, to -> to.heard(id, incarnation, said, report, table, now));
    }
  }

  private void heard(
      DaemonId peer,
      long incarnation,
      MemberState said,
      PlatformReport report,
      OwnershipTable table,
      long sentAt) {
    long now = now();
    membership.heartbeatReceived(now, peer, incarnation, said);
    keeper.peerReported(peer, report);
    observer.heartbeatCarried(now, peer, report.leaseVersion());
    planner.tableSeen(now, table);
    echoes.merge(peer, sentAt, Math::max);
  }

  private void readTable(long now) {
    if (now < nextTableRead) {
      return;
    }
    nextTableRead = now + TABLE_EVERY_MILLIS;
    world.call(
        this,
        Optional.empty(),
        SimulatedPlatform::table,
        table -> {
          contact.succeeded(now());
          planner.tableSeen(now(), table);
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
            keeper.renewalAnswered(now(), renew.operation(), answer);
            nextHeartbeat = now();
          },
          () -> keeper.renewalAnswered(now(), renew.operation(), new WriteAnswer.Lost()));
      return;
    }
    world.call(
        this,
        action.relay(),
        platform ->
            platform
                .read(name)
                .map(found -> new StoredLease(found.version(), (LeaseRecord) found.value())),
        stored -> keeper.readAnswered(now(), stored),
        () -> keeper.readFailed(now()));
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
          planner.answered(now(), proposal.operation(), answer);
        },
        () -> planner.answered(now(), proposal.operation(), new WriteAnswer.Lost()));
  }
}
