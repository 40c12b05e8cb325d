package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.sequoiapass.coordination.DaemonId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembershipTest {

  private static final DaemonId PEER = new DaemonId("peer");

  private final Membership membership = Membership.create(MembershipSettings.DEFAULT, 0);

  @BeforeEach
  void peerIsHeard() {
    membership.heartbeatReceived(0, PEER, 7, MemberState.ALIVE);
  }

  @Test
  void silenceIsSuspectedThenBelieved() {
    tickUntil(2_400);
    assertThat(membership.state(PEER)).isEqualTo(MemberState.ALIVE);
    tickUntil(2_500);
    assertThat(membership.state(PEER)).isEqualTo(MemberState.SUSPECT);
    tickUntil(4_000);
    assertThat(membership.state(PEER)).isEqualTo(MemberState.DEAD);
  }

  // A daemon is killed right after it renewed its lease, which nobody was told. Each third of a
  // second until the lease is read again delays the takeover of its endpoints by as much.
  @Test
  void anOverdueHeartbeatIsToldOnceLongBeforeTheSuspicion() {
    tickUntil(1_200);
    assertThat(membership.overdue(1_200)).isEmpty();
    tickUntil(1_300);
    assertThat(membership.overdue(1_300)).containsExactly(PEER);
    assertThat(membership.state(PEER)).isEqualTo(MemberState.ALIVE);
    tickUntil(1_400);
    assertThat(membership.overdue(1_400)).isEmpty();
    membership.heartbeatReceived(1_500, PEER, 7, MemberState.ALIVE);
    tickUntil(2_800);
    assertThat(membership.overdue(2_800)).containsExactly(PEER);
  }

  @Test
  void aDrainingDaemonIsReachableAndNoCandidate() {
    membership.heartbeatReceived(500, PEER, 7, MemberState.DRAINING);
    assertThat(membership.state(PEER).isReachable()).isTrue();
    assertThat(membership.candidates()).isEmpty();
  }

  @Test
  void aNewProcessUnderTheNameIsReported() {
    assertThat(membership.heartbeatReceived(500, PEER, 8, MemberState.ALIVE))
        .hasValueSatisfying(change -> assertThat(change.restarted()).isTrue());
    assertThat(membership.heartbeatReceived(600, PEER, 7, MemberState.DRAINING)).isEmpty();
    assertThat(membership.incarnation(PEER)).isEqualTo(8);
  }

  @Test
  void settingsThatLeaveNoRoomAreRefused() {
    assertThatThrownBy(() -> new MembershipSettings(1_000, 1_900, 4_000, 60_000))
        .hasMessageContaining("1900");
  }

  /** The platform's list lags by minutes: a host it calls leaving may have come back. */
  @Nested
  class HostHints {

    @Test
    void aHostThatIsHeardIsAliveWhateverTheListSays() {
      membership.hinted(PEER, HostHint.LEAVING);
      tickUntil(1_000);
      assertThat(membership.state(PEER)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void silenceOfAHostThatLeavesIsBelievedSooner() {
      membership.hinted(PEER, HostHint.ABSENT);
      tickUntil(2_000);
      assertThat(membership.state(PEER)).isEqualTo(MemberState.DEAD);
    }

    @Test
    void aSilentHostIsDeadThoughTheListCallsItLive() {
      membership.hinted(PEER, HostHint.LIVE);
      tickUntil(4_000);
      assertThat(membership.state(PEER)).isEqualTo(MemberState.DEAD);
    }
  }

  /**
   * A daemon that was frozen for a minute wakes and sends everybody's work elsewhere, because it
   * read no heartbeat meanwhile. Its own gap is forgiven; silence after it counts.
   */
  @Test
  void aFrozenDaemonDoesNotCallItsPeersDead() {
    tickUntil(500);
    assertThat(membership.tick(60_500)).isEmpty();
    assertThat(membership.state(PEER)).isEqualTo(MemberState.ALIVE);
    for (long now = 60_600; now <= 64_500; now += 100) {
      membership.tick(now);
    }
    assertThat(membership.state(PEER)).isEqualTo(MemberState.DEAD);
  }

  private void tickUntil(long end) {
    for (long now = 100; now <= end; now += 100) {
      membership.tick(now);
    }
  }
}
