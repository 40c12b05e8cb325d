package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.version.WriteAnswer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OwnershipPlannerTest {

  private static final int ENDPOINTS = 520;
  private static final int DAEMONS = 17;

  private final PlatformConnectivity contact =
      PlatformConnectivity.create(LeaseSettings.DEFAULT, 0);
  private final LeaseObserver observer = LeaseObserver.create(LeaseSettings.DEFAULT, contact);
  private final List<DaemonId> ranked = RendezvousHash.rank("propose/surco", daemons());

  private static List<DaemonId> daemons() {
    List<DaemonId> daemons = new ArrayList<>();
    for (int i = 0; i < DAEMONS; i++) {
      daemons.add(new DaemonId("d" + i));
    }
    return daemons;
  }

  private OwnershipPlanner planner(DaemonId self, List<DaemonId> alive, OwnershipTable table) {
    OwnershipPlanner planner =
        OwnershipPlanner.create(
            OwnershipSettings.DEFAULT, new DataCentreId("surco"), self, observer, new Random(1));
    List<EndpointId> endpoints = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      endpoints.add(new EndpointId("e" + i));
    }
    planner.setEndpoints(endpoints);
    planner.tableReceived(0, table);
    Map<DaemonId, Candidate> candidates = new TreeMap<>();
    alive.forEach(daemon -> candidates.put(daemon, new Candidate(1, 1)));
    planner.setCandidates(0, 1, candidates);
    return planner;
  }

  private OwnershipTable fullTable() {
    OwnershipPlanner planner = planner(ranked.get(0), ranked, OwnershipTable.EMPTY);
    OwnershipProposal proposal = planner.takeOver(0).orElseThrow();
    planner.writeAnswered(0, proposal.operation(), new WriteAnswer.Stored(40));
    return planner.table();
  }

  @Test
  void everyDaemonIsNearItsShare() {
    OwnershipTable table = fullTable();
    assertThat(table.owners()).hasSize(ENDPOINTS);
    for (DaemonId daemon : ranked) {
      assertThat(table.ownedBy(daemon)).hasSizeBetween(15, 39);
    }
  }

  @Test
  void secondRankedWaitsForFirst() {
    OwnershipPlanner second = planner(ranked.get(1), ranked, OwnershipTable.EMPTY);
    assertThat(second.takeOver(0)).isEmpty();
    assertThat(second.takeOver(1_499)).isEmpty();
    assertThat(second.takeOver(1_500)).isPresent();
  }

  @Test
  void expiredLeaseMovesOnlyEndpointsOfItsHolder() {
    OwnershipTable before = fullTable();
    DaemonId dead = ranked.get(5);
    List<DaemonId> alive = new ArrayList<>(ranked);
    alive.remove(dead);
    OwnershipPlanner planner = planner(ranked.get(0), alive, before);
    contact.succeeded(0);
    observer.leaseRead(0, 0, dead, 3);
    assertThat(planner.takeOver(5_000)).as("live").isEmpty();
    for (long now = 4_000; now <= 8_000; now += 4_000) {
      contact.succeeded(now);
    }
    assertThat(planner.leasesToCheck(10_000)).contains(dead);
    contact.succeeded(10_010);
    observer.leaseRead(10_000, 10_010, dead, 3);
    OwnershipTable after = planner.takeOver(10_010).orElseThrow().table();
    Set<EndpointId> moved = before.ownedBy(dead);
    after
        .owners()
        .forEach(
            (endpoint, owner) -> {
              if (!moved.contains(endpoint)) {
                assertThat(before.owner(endpoint)).contains(owner);
              }
            });
    assertThat(after.ownedBy(dead)).isEmpty();
    assertThat(after.owners()).hasSize(ENDPOINTS);
  }

  /**
   * Guards against two owners during a planned stop: the orders of the former owner stop before the
   * write is sent, even if its answer is lost.
   */
  @Nested
  class Handover {

    private final DaemonId formerOwner = ranked.get(3);
    private final OwnershipPlanner planner = planner(formerOwner, ranked, fullTable());
    private final EndpointId endpoint = planner.table().ownedBy(formerOwner).iterator().next();

    @Test
    void ordersStopBeforeWriteUntilOutcomeIsKnown() {
      assertThat(planner.isOwned(endpoint)).isTrue();
      OwnershipProposal proposal = planner.handOver(0, Set.of(endpoint)).orElseThrow();
      assertThat(planner.isOwned(endpoint)).isFalse();
      planner.writeAnswered(0, proposal.operation(), new WriteAnswer.Lost());
      assertThat(planner.isOwned(endpoint)).isFalse();
      assertThat(planner.retry(60_000)).contains(proposal);
      planner.writeAnswered(
          60_000,
          proposal.operation(),
          new WriteAnswer.Conflict(41, Optional.of(proposal.operation())));
      assertThat(planner.table().version()).isEqualTo(41);
      assertThat(planner.table().owner(endpoint))
          .isPresent()
          .isNotEqualTo(Optional.of(formerOwner));
    }

    @Test
    void onlyIncarnationInTableHandsOver() {
      Map<DaemonId, Candidate> candidates = new TreeMap<>();
      ranked.forEach(daemon -> candidates.put(daemon, new Candidate(1, 1)));
      planner.setCandidates(0, 2, candidates);
      assertThat(planner.handOver(0, Set.of(endpoint))).as("a later process").isEmpty();
      planner.setCandidates(0, 0, candidates);
      assertThat(planner.handOver(0, Set.of(endpoint))).as("a former process").isEmpty();
      planner.setCandidates(0, 1, candidates);
      assertThat(planner.handOver(0, Set.of(endpoint))).isPresent();
    }

    @Test
    void conflictReturnsEndpointOnceNewerTableIsReceived() {
      OwnershipProposal proposal = planner.handOver(0, Set.of(endpoint)).orElseThrow();
      planner.writeAnswered(
          0, proposal.operation(), new WriteAnswer.Conflict(41, Optional.empty()));
      assertThat(planner.isOwned(endpoint)).as("before the table is known").isFalse();
      OwnershipTable currentTable = planner.table();
      planner.tableReceived(
          1,
          OwnershipTable.of(
              41, currentTable.epoch() + 1, currentTable.owners(), currentTable.incarnations()));
      assertThat(planner.isOwned(endpoint)).isTrue();
    }
  }

  /**
   * Guards against refused requests for resident adapters while the owner is dead and the platform
   * is out.
   */
  @Nested
  class BackupOwners {

    private final DaemonId self = new DaemonId("self");
    private final DaemonId owner = new DaemonId("owner");
    private final EndpointId endpoint = new EndpointId("e");
    private final OwnershipTable table =
        OwnershipTable.of(5, 1, Map.of(endpoint, owner), Map.of(owner, 1L));
    private final Membership membership = Membership.create(MembershipSettings.DEFAULT, 0);
    private final BackupOwnerSelector selector = BackupOwnerSelector.create(self);

    @Test
    void backupOwnerServesResidentAdaptersWithoutOrders() {
      ServingRole role = selector.role(endpoint, table, membership, true);
      assertThat(role).isEqualTo(ServingRole.BACKUP_OWNER);
      assertThat(role.mayServeResident()).isTrue();
      assertThat(role.mayGiveOrders()).isFalse();
    }

    @Test
    void noBackupOwnerWhileOwnerIsAliveOrPlatformIsReachable() {
      assertThat(selector.role(endpoint, table, membership, false)).isEqualTo(ServingRole.NONE);
      membership.heartbeatReceived(0, owner, 1, MemberState.ALIVE);
      assertThat(selector.servingDaemon(endpoint, table, membership, true)).contains(owner);
    }
  }
}
