package io.sequoiapass.coordination.version;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.DaemonId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RepairScheduleTest {

  private static final DaemonId PEER = new DaemonId("d1");
  private static final DaemonId OTHER = new DaemonId("d2");

  private final RepairSchedule schedule = RepairSchedule.create();

  @Nested
  class StableDigest {

    @Test
    void aPushThatArrivesInTimeNeedsNoRepair() {
      schedule.digestReceived(0, PEER, 2, 1);
      assertThat(schedule.due(50, 1)).isEmpty();
      assertThat(schedule.due(150, 2)).isEmpty();
      schedule.digestReceived(500, PEER, 2, 2);
      assertThat(schedule.due(5_000, 2)).isEmpty();
    }

    @Test
    void aLostPushIsRequestedOnce() {
      schedule.digestReceived(0, PEER, 2, 1);
      assertThat(schedule.due(100, 1)).contains(PEER);
      assertThat(schedule.due(400, 1)).isEmpty();
    }
  }

  @Nested
  class ContinuousChanges {

    // Changes arrive ten times per second, so the own digest is never stable, and one push was
    // lost.
    @Test
    void aLostPushIsDetectedFromLaterHeartbeats() {
      for (long now = 0; now <= 500; now += 500) {
        schedule.digestReceived(now, PEER, 1_000 + now, now);
        assertThat(schedule.due(now + 100, now + 100)).isEmpty();
      }
      assertThat(schedule.due(800, 800)).contains(PEER);
    }
  }

  @Test
  void requestsToDifferentPeersAreSpacedByTheInterval() {
    schedule.digestReceived(0, PEER, 2, 1);
    schedule.digestReceived(0, OTHER, 2, 1);
    assertThat(schedule.due(100, 1)).contains(PEER);
    assertThat(schedule.due(150, 1)).isEmpty();
    assertThat(schedule.due(300, 1)).contains(OTHER);
  }
}
