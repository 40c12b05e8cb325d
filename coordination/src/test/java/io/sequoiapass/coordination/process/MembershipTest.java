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
  void receiveHeartbeat() {
    membership.heartbeatReceived(0, PEER, 7, MemberState.ALIVE);
  }

  @Test
  void silentPeerIsSuspectedThenDead() {
    tickUntil(2_400);
    assertThat(membership.state(PEER)).isEqualTo(MemberState.ALIVE);
    tickUntil(2_500);
    assertThat(membership.state(PEER)).isEqualTo(MemberState.SUSPECT);
    tickUntil(4_000);
    assertThat(membership.state(PEER)).isEqualTo(MemberState.DEAD);
  }

  // Guards against a late takeover: a daemon is killed right after it renewed its lease, before it
  // announced the renewal. Any delay until its lease is read again delays the takeover of its
  // endpoints by the same time.
  @Test
  void overdueHeartbeatIsReportedOnceBeforeSuspicion() {
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
  void drainingDaemonIsReachableButNoCandidate() {
    membership.heartbeatReceived(500, PEER, 7, MemberState.DRAINING);
    assertThat(membership.state(PEER).isReachable()).isTrue();
    assertThat(membership.candidates()).isEmpty();
  }

  @Test
  void newIncarnationIsReportedAsRestart() {
    assertThat(membership.heartbeatReceived(500, PEER, 8, MemberState.ALIVE))
        .hasValueSatisfying(change -> assertThat(change.restarted()).isTrue());
    assertThat(membership.heartbeatReceived(600, PEER, 7, MemberState.DRAINING)).isEmpty();
    assertThat(membership.incarnation(PEER)).isEqualTo(8);
  }

  @Test
  void rejectsSuspicionBelowTwoHeartbeatIntervals() {
    assertThatThrownBy(() -> new MembershipSettings(1_000, 1_900, 4_000, 60_000))
        .hasMessageContaining("1900");
  }

  /**
   * Guards against trust in the platform's host list, which lags by minutes: a host listed as
   * leaving may have rejoined.
   */
  @Nested
  class HostHints {

    @Test
    void hostWithHeartbeatsIsAliveWhateverTheHint() {
      membership.updateHint(PEER, HostHint.LEAVING);
      tickUntil(1_000);
      assertThat(membership.state(PEER)).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void silentHostWithHintIsDeadSooner() {
      membership.updateHint(PEER, HostHint.ABSENT);
      tickUntil(2_000);
      assertThat(membership.state(PEER)).isEqualTo(MemberState.DEAD);
    }

    @Test
    void silentHostIsDeadDespiteLiveHint() {
      membership.updateHint(PEER, HostHint.LIVE);
      tickUntil(4_000);
      assertThat(membership.state(PEER)).isEqualTo(MemberState.DEAD);
    }
  }

  /**
   * Guards against a daemon that resumes after a freeze of a minute, has read no heartbeats
   * meanwhile, and sends the work of all peers elsewhere. Its own pause does not count as silence
   * of its peers; missing heartbeats after it do.
   */
  @Test
  void peersStayAliveAfterOwnPause() {
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
