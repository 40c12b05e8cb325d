package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.OperationId;
import io.sequoiapass.coordination.version.WriteAnswer;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LeaseManagerTest {

  private static final DaemonId SELF = new DaemonId("self");
  private static final DaemonId PEER = new DaemonId("peer");
  private static final DaemonId OTHER = new DaemonId("other");

  private final PlatformConnectivity contact =
      PlatformConnectivity.create(LeaseSettings.DEFAULT, 0);
  private final LeaseManager leaseManager = create();
  private long version = 10;

  private LeaseManager create() {
    LeaseManager created =
        LeaseManager.create(
            LeaseSettings.DEFAULT, SELF, "127.0.0.1:1", 1, new Random(1), contact, 0);
    created.setMembers(Set.of(SELF, PEER, OTHER));
    return created;
  }

  @BeforeEach
  void acquire() {
    leaseManager.tick(0);
    leaseManager.readAnswered(0, Optional.empty());
    renew(0, 0);
    leaseManager.tableVersionReceived(version + 1);
  }

  /** Sends a renewal at one time and answers it at another. */
  private void renew(long sentAt, long answeredAt) {
    LeaseAction.Renew renew = (LeaseAction.Renew) leaseManager.tick(sentAt).orElseThrow();
    version++;
    leaseManager.renewalAnswered(answeredAt, renew.operation(), new WriteAnswer.Stored(version));
  }

  private void advance(long from, long to) {
    for (long now = from; now <= to; now += 500) {
      leaseManager.tick(now);
      leaseManager.renewalAnswered(now, new OperationId("late"), new WriteAnswer.Lost());
    }
  }

  private void report(DaemonId peer, boolean out, long table, long echoed) {
    leaseManager.peerReported(peer, new PlatformReport(out, table, 0, echoed));
  }

  @Test
  void validityCountsFromSendTimeOfRenewal() {
    advance(500, 3_000);
    assertThat(leaseManager.remainingMillis(3_000)).isEqualTo(6_000);
    assertThat(leaseManager.status(3_000)).isEqualTo(LeaseStatus.VALID);
  }

  @Test
  void renewalWithLostAnswerCountsFromFirstAttempt() {
    LeaseAction.Renew first = (LeaseAction.Renew) leaseManager.tick(4_000).orElseThrow();
    leaseManager.renewalAnswered(4_900, first.operation(), new WriteAnswer.Lost());
    LeaseAction.Renew again = (LeaseAction.Renew) leaseManager.tick(6_400).orElseThrow();
    assertThat(again.operation()).isEqualTo(first.operation());
    WriteAnswer own = new WriteAnswer.Conflict(20, Optional.of(first.operation()));
    leaseManager.renewalAnswered(6_500, again.operation(), own);
    assertThat(leaseManager.remainingMillis(6_500)).isEqualTo(4_000 + 9_000 - 6_500);
  }

  /**
   * Guards against a lease that outlives its stopped daemon because a renewal in flight is stored
   * after the deletion.
   */
  @Nested
  class Release {

    @Test
    void waitsForRenewalInFlight() {
      LeaseAction.Renew renew = (LeaseAction.Renew) leaseManager.tick(4_000).orElseThrow();
      leaseManager.release();

      assertThat(leaseManager.isRenewalInFlight()).isTrue();
      leaseManager.renewalAnswered(4_020, renew.operation(), new WriteAnswer.Stored(40));
      assertThat(leaseManager.isRenewalInFlight()).isFalse();
      assertThat(leaseManager.version()).isEqualTo(40);
      assertThat(leaseManager.tick(8_000)).isEmpty();
    }

    @Test
    void doesNotWaitForLostAnswer() {
      LeaseAction.Renew renew = (LeaseAction.Renew) leaseManager.tick(4_000).orElseThrow();
      leaseManager.release();
      leaseManager.renewalAnswered(4_900, renew.operation(), new WriteAnswer.Lost());

      assertThat(leaseManager.isRenewalInFlight()).isFalse();
    }
  }

  /**
   * Guards against a stream that ends early because a former owner unloads its adapter: the daemon
   * cannot reach the platform, its lease expires, another daemon takes over, and the endpoint does
   * not check fencing numbers.
   */
  @Nested
  class ExpiredLease {

    @BeforeEach
    void expire() {
      advance(500, 9_000);
    }

    @Test
    void permitsOnlyNonDestructiveOrdersWithoutFencing() {
      assertThat(leaseManager.status(9_000)).isEqualTo(LeaseStatus.LAPSED);
      assertThat(leaseManager.mayOrder(9_000, FencePolicy.IGNORES, OrderKind.UNLOAD)).isFalse();
      assertThat(leaseManager.mayOrder(9_000, FencePolicy.IGNORES, OrderKind.LOAD_INTO_FREE_SLOT))
          .isTrue();
      assertThat(leaseManager.mayOrder(9_000, FencePolicy.CHECKS, OrderKind.UNLOAD)).isTrue();
    }

    @Test
    void isValidOnlyAfterRenewalAndNewerTable() {
      advance(9_500, 12_500);
      LeaseAction.Renew renew = null;
      for (long now = 13_000; renew == null; now += 500) {
        renew = (LeaseAction.Renew) leaseManager.tick(now).orElse(null);
      }
      version = 30;
      leaseManager.renewalAnswered(
          17_000,
          renew.operation(),
          new WriteAnswer.Conflict(version, Optional.of(renew.operation())));
      renew(17_000, 17_000);
      leaseManager.tableVersionReceived(version - 1);
      assertThat(leaseManager.needsNewerTable(17_000)).as("table before the renewal").isTrue();
      assertThat(leaseManager.status(17_000)).isEqualTo(LeaseStatus.LAPSED);
      leaseManager.tableVersionReceived(version + 1);
      assertThat(leaseManager.status(17_000)).isEqualTo(LeaseStatus.VALID);
      assertThat(leaseManager.needsNewerTable(17_000)).isFalse();
    }

    @Test
    void lapsedForAllWhileAllPeersReportOutage() {
      report(PEER, true, version + 1, 8_500);
      report(OTHER, true, version + 1, 8_500);
      assertThat(leaseManager.status(9_000)).isEqualTo(LeaseStatus.LAPSED_FOR_ALL);
      advance(9_500, 12_000);
      assertThat(leaseManager.status(12_000)).as("old reports").isEqualTo(LeaseStatus.LAPSED);
    }

    @Test
    void missingReportCountsAsTakeover() {
      report(PEER, true, version + 1, 8_500);
      assertThat(leaseManager.status(9_000)).isEqualTo(LeaseStatus.LAPSED);
    }

    @Test
    void newerTableOfPeerCountsAsTakeover() {
      report(PEER, true, version + 1, 8_500);
      report(OTHER, true, version + 2, 8_500);
      assertThat(leaseManager.status(9_000)).isEqualTo(LeaseStatus.LAPSED);
    }
  }

  /**
   * Guards against a process that resumes after a freeze, relies on checks made before it, and
   * unloads an adapter that another daemon loaded.
   */
  @Test
  void pauseStopsOrdersUntilLaterRenewal() {
    advance(500, 3_000);
    assertThat(leaseManager.status(5_500)).isEqualTo(LeaseStatus.LAPSED);
    renew(5_500, 5_600);
    assertThat(leaseManager.status(5_600)).isEqualTo(LeaseStatus.VALID);
  }

  @Test
  void failedRenewalIsRelayedByReachablePeer() {
    report(PEER, false, 0, 3_000);
    LeaseAction action = null;
    for (long now = 500; now <= 6_500; now += 500) {
      action = leaseManager.tick(now).filter(one -> one.relay().isPresent()).orElse(action);
    }
    assertThat(action).isNotNull();
    assertThat(action.relay()).contains(PEER);
  }

  @Nested
  class TwoProcessesWithSameName {

    @Test
    void successorWaitsForPredecessorsLease() {
      LeaseManager successor = create();
      successor.tick(0);
      LeaseRecord former = new LeaseRecord(SELF, "", 5, 1, 10_000, LeaseState.ACTIVE);
      successor.readAnswered(0, Optional.of(new StoredLease(11, former)));
      assertThat(successor.incarnation()).isEqualTo(6);
      LeaseAction.Renew renew = (LeaseAction.Renew) successor.tick(0).orElseThrow();
      successor.renewalAnswered(0, renew.operation(), new WriteAnswer.Stored(12));
      successor.tableVersionReceived(13);
      assertThat(successor.status(1_000)).isEqualTo(LeaseStatus.STARTING);
      assertThat(successor.mayOrder(1_000, FencePolicy.IGNORES, OrderKind.UNLOAD)).isFalse();
      assertThat(successor.mayHandOver(1_000)).isFalse();
      assertThat(leaseManager.mayHandOver(1_000)).isTrue();
    }

    /**
     * Guards against a stream that ends early: a process freezes before its first lease, is
     * replaced, resumes, reclaims the lease and hands over the endpoints of its replacement, which
     * continues to send orders.
     */
    @Test
    void processFrozenBeforeFirstLeaseIsSuperseded() {
      LeaseManager frozen = create();
      frozen.tick(0);
      frozen.readAnswered(0, Optional.empty());
      LeaseAction.Renew renew = (LeaseAction.Renew) frozen.tick(30_000).orElseThrow();
      frozen.renewalAnswered(
          30_000, renew.operation(), new WriteAnswer.Conflict(50, Optional.empty()));
      frozen.tick(30_000);
      LeaseRecord later = new LeaseRecord(SELF, "", 9, 1, 10_000, LeaseState.ACTIVE);
      frozen.readAnswered(30_000, Optional.of(new StoredLease(50, later)));
      assertThat(frozen.status(30_000)).isEqualTo(LeaseStatus.SUPERSEDED);
      assertThat(frozen.tick(60_000)).isEmpty();
    }

    @Test
    void predecessorIsSupersededOnceItReadsSuccessorsLease() {
      advance(500, 3_000);
      LeaseAction.Renew renew = null;
      for (long now = 3_500; renew == null; now += 500) {
        renew = (LeaseAction.Renew) leaseManager.tick(now).orElse(null);
      }
      leaseManager.renewalAnswered(
          4_000, renew.operation(), new WriteAnswer.Conflict(50, Optional.empty()));
      leaseManager.tick(4_000);
      LeaseRecord later = new LeaseRecord(SELF, "", 9, 1, 10_000, LeaseState.ACTIVE);
      leaseManager.readAnswered(4_000, Optional.of(new StoredLease(50, later)));
      assertThat(leaseManager.status(4_000)).isEqualTo(LeaseStatus.SUPERSEDED);
      assertThat(leaseManager.mayOrder(4_000, FencePolicy.CHECKS, OrderKind.UNLOAD)).isFalse();
    }
  }

  @Test
  void rejectsReportAgeThatOutlastsTakeover() {
    assertThatThrownBy(() -> new LeaseSettings(10_000, 4_000, 1_000, 1_000, 2_000, 6_000, 9_000))
        .hasMessageContaining("9000");
  }
}
