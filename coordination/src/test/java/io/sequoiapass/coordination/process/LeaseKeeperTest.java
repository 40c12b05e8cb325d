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

class LeaseKeeperTest {

  private static final DaemonId SELF = new DaemonId("self");
  private static final DaemonId PEER = new DaemonId("peer");
  private static final DaemonId OTHER = new DaemonId("other");

  private final PlatformContact contact = PlatformContact.create(LeaseSettings.DEFAULT, 0);
  private final LeaseKeeper keeper = create();
  private long version = 10;

  private LeaseKeeper create() {
    LeaseKeeper created =
        LeaseKeeper.create(
            LeaseSettings.DEFAULT, SELF, "127.0.0.1:1", 1, new Random(1), contact, 0);
    created.dataCentreIs(Set.of(SELF, PEER, OTHER));
    return created;
  }

  @BeforeEach
  void acquire() {
    keeper.tick(0);
    keeper.readAnswered(0, Optional.empty());
    renewed(0, 0);
    keeper.tableSeen(version + 1);
  }

  /** Sends a renewal at one moment and answers it at another. */
  private void renewed(long sentAt, long answeredAt) {
    LeaseAction.Renew renew = (LeaseAction.Renew) keeper.tick(sentAt).orElseThrow();
    version++;
    keeper.renewalAnswered(answeredAt, renew.operation(), new WriteAnswer.Stored(version));
  }

  private void passTo(long from, long to) {
    for (long now = from; now <= to; now += 500) {
      keeper.tick(now);
      keeper.renewalAnswered(now, new OperationId("late"), new WriteAnswer.Lost());
    }
  }

  private void report(DaemonId peer, boolean out, long table, long echoed) {
    keeper.peerReported(peer, new PlatformReport(out, table, 0, echoed));
  }

  @Test
  void theLeaseCountsFromBeforeTheRenewalWasSent() {
    passTo(500, 3_000);
    assertThat(keeper.remainingMillis(3_000)).isEqualTo(6_000);
    assertThat(keeper.standing(3_000)).isEqualTo(LeaseStanding.VALID);
  }

  @Test
  void aRenewalWhoseAnswerWasLostCountsFromItsFirstTry() {
    LeaseAction.Renew first = (LeaseAction.Renew) keeper.tick(4_000).orElseThrow();
    keeper.renewalAnswered(4_900, first.operation(), new WriteAnswer.Lost());
    LeaseAction.Renew again = (LeaseAction.Renew) keeper.tick(6_400).orElseThrow();
    assertThat(again.operation()).isEqualTo(first.operation());
    WriteAnswer own = new WriteAnswer.Conflict(20, Optional.of(first.operation()));
    keeper.renewalAnswered(6_500, again.operation(), own);
    assertThat(keeper.remainingMillis(6_500)).isEqualTo(4_000 + 9_000 - 6_500);
  }

  /** Guards against a stopped daemon whose lease stays, since a renewal crossed its deletion. */
  @Nested
  class Release {

    @Test
    void waitsForTheRenewalThatIsOpen() {
      LeaseAction.Renew renew = (LeaseAction.Renew) keeper.tick(4_000).orElseThrow();
      keeper.release();

      assertThat(keeper.isRenewalOpen()).isTrue();
      keeper.renewalAnswered(4_020, renew.operation(), new WriteAnswer.Stored(40));
      assertThat(keeper.isRenewalOpen()).isFalse();
      assertThat(keeper.version()).isEqualTo(40);
      assertThat(keeper.tick(8_000)).isEmpty();
    }

    @Test
    void doesNotWaitForAnAnswerThatIsLost() {
      LeaseAction.Renew renew = (LeaseAction.Renew) keeper.tick(4_000).orElseThrow();
      keeper.release();
      keeper.renewalAnswered(4_900, renew.operation(), new WriteAnswer.Lost());

      assertThat(keeper.isRenewalOpen()).isFalse();
    }
  }

  /**
   * A stream ends early because its adapter was unloaded by a daemon that lost the platform: its
   * lease ran out, another daemon took over, and the endpoint checks no fences.
   */
  @Nested
  class RunOut {

    @BeforeEach
    void runOut() {
      passTo(500, 9_000);
    }

    @Test
    void onlyHarmlessOrdersGoToEndpointsThatIgnoreFences() {
      assertThat(keeper.standing(9_000)).isEqualTo(LeaseStanding.LAPSED);
      assertThat(keeper.mayOrder(9_000, FencePolicy.IGNORES, OrderKind.UNLOAD)).isFalse();
      assertThat(keeper.mayOrder(9_000, FencePolicy.IGNORES, OrderKind.LOAD_INTO_FREE_SLOT))
          .isTrue();
      assertThat(keeper.mayOrder(9_000, FencePolicy.CHECKS, OrderKind.UNLOAD)).isTrue();
    }

    @Test
    void renewalAloneDoesNotMakeItWhole() {
      passTo(9_500, 12_500);
      LeaseAction.Renew renew = null;
      for (long now = 13_000; renew == null; now += 500) {
        renew = (LeaseAction.Renew) keeper.tick(now).orElse(null);
      }
      version = 30;
      keeper.renewalAnswered(
          17_000,
          renew.operation(),
          new WriteAnswer.Conflict(version, Optional.of(renew.operation())));
      renewed(17_000, 17_000);
      keeper.tableSeen(version - 1);
      assertThat(keeper.needsTable(17_000)).as("table before the renewal").isTrue();
      assertThat(keeper.standing(17_000)).isEqualTo(LeaseStanding.LAPSED);
      keeper.tableSeen(version + 1);
      assertThat(keeper.standing(17_000)).isEqualTo(LeaseStanding.VALID);
      assertThat(keeper.needsTable(17_000)).isFalse();
    }

    @Test
    void anOutageForAllLeavesItWhole() {
      report(PEER, true, version + 1, 8_500);
      report(OTHER, true, version + 1, 8_500);
      assertThat(keeper.standing(9_000)).isEqualTo(LeaseStanding.LAPSED_FOR_ALL);
      passTo(9_500, 12_000);
      assertThat(keeper.standing(12_000)).as("old reports").isEqualTo(LeaseStanding.LAPSED);
    }

    @Test
    void aSilentPeerCountsAsOneThatTookOver() {
      report(PEER, true, version + 1, 8_500);
      assertThat(keeper.standing(9_000)).isEqualTo(LeaseStanding.LAPSED);
    }

    @Test
    void aPeerThatKnowsANewerTableMayHaveTakenOver() {
      report(PEER, true, version + 1, 8_500);
      report(OTHER, true, version + 2, 8_500);
      assertThat(keeper.standing(9_000)).isEqualTo(LeaseStanding.LAPSED);
    }
  }

  /** A frozen process wakes with checks that it made before, and unloads what another loaded. */
  @Test
  void aPauseStopsOrdersUntilARenewalSentAfterIt() {
    passTo(500, 3_000);
    assertThat(keeper.standing(5_500)).isEqualTo(LeaseStanding.LAPSED);
    renewed(5_500, 5_600);
    assertThat(keeper.standing(5_600)).isEqualTo(LeaseStanding.VALID);
  }

  @Test
  void aFailedRenewalGoesThroughAPeerThatHasContact() {
    report(PEER, false, 0, 3_000);
    LeaseAction action = null;
    for (long now = 500; now <= 6_500; now += 500) {
      action = keeper.tick(now).filter(one -> one.relay().isPresent()).orElse(action);
    }
    assertThat(action).isNotNull();
    assertThat(action.relay()).contains(PEER);
  }

  @Nested
  class TwoProcessesOfOneName {

    @Test
    void theSuccessorWaitsForItsPredecessorsLease() {
      LeaseKeeper successor = create();
      successor.tick(0);
      LeaseRecord former = new LeaseRecord(SELF, "", 5, 1, 10_000, LeaseState.ACTIVE);
      successor.readAnswered(0, Optional.of(new StoredLease(11, former)));
      assertThat(successor.incarnation()).isEqualTo(6);
      LeaseAction.Renew renew = (LeaseAction.Renew) successor.tick(0).orElseThrow();
      successor.renewalAnswered(0, renew.operation(), new WriteAnswer.Stored(12));
      successor.tableSeen(13);
      assertThat(successor.standing(1_000)).isEqualTo(LeaseStanding.STARTING);
      assertThat(successor.mayOrder(1_000, FencePolicy.IGNORES, OrderKind.UNLOAD)).isFalse();
      assertThat(successor.mayHandOver(1_000)).isFalse();
      assertThat(keeper.mayHandOver(1_000)).isTrue();
    }

    /**
     * A stream ends early: a process froze before its first lease, was replaced, woke, took the
     * name back and gave the endpoints of its replacement away, which went on ordering.
     */
    @Test
    void aProcessFrozenBeforeItsFirstLeaseLeavesTheNameToItsReplacement() {
      LeaseKeeper frozen = create();
      frozen.tick(0);
      frozen.readAnswered(0, Optional.empty());
      LeaseAction.Renew renew = (LeaseAction.Renew) frozen.tick(30_000).orElseThrow();
      frozen.renewalAnswered(
          30_000, renew.operation(), new WriteAnswer.Conflict(50, Optional.empty()));
      frozen.tick(30_000);
      LeaseRecord later = new LeaseRecord(SELF, "", 9, 1, 10_000, LeaseState.ACTIVE);
      frozen.readAnswered(30_000, Optional.of(new StoredLease(50, later)));
      assertThat(frozen.standing(30_000)).isEqualTo(LeaseStanding.SUPERSEDED);
      assertThat(frozen.tick(60_000)).isEmpty();
    }

    @Test
    void thePredecessorStopsForGoodOnceItSeesTheSuccessor() {
      passTo(500, 3_000);
      LeaseAction.Renew renew = null;
      for (long now = 3_500; renew == null; now += 500) {
        renew = (LeaseAction.Renew) keeper.tick(now).orElse(null);
      }
      keeper.renewalAnswered(
          4_000, renew.operation(), new WriteAnswer.Conflict(50, Optional.empty()));
      keeper.tick(4_000);
      LeaseRecord later = new LeaseRecord(SELF, "", 9, 1, 10_000, LeaseState.ACTIVE);
      keeper.readAnswered(4_000, Optional.of(new StoredLease(50, later)));
      assertThat(keeper.standing(4_000)).isEqualTo(LeaseStanding.SUPERSEDED);
      assertThat(keeper.mayOrder(4_000, FencePolicy.CHECKS, OrderKind.UNLOAD)).isFalse();
    }
  }

  @Test
  void evidenceThatOutlivesATakeoverIsRefused() {
    assertThatThrownBy(() -> new LeaseSettings(10_000, 4_000, 1_000, 1_000, 2_000, 6_000, 9_000))
        .hasMessageContaining("9000");
  }
}
