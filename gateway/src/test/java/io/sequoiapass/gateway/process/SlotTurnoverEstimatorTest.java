package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SlotTurnoverEstimatorTest {

  private static final int SLOTS = 10;

  private final SlotTurnoverEstimator turnover = new SlotTurnoverEstimator();

  private void freeSlots(int times, long from, long eachMs) {
    turnover.queueStarted(from);
    for (int i = 1; i <= times; i++) {
      turnover.slotAssigned(from + i * eachMs);
    }
  }

  @Test
  void firstGuessDependsOnTheSlots() {
    assertThat(turnover.expectedMs(0, SLOTS, 0)).isBetween(100L, 300L);
    assertThat(turnover.expectedMs(3, SLOTS, 0)).isEqualTo(4 * turnover.expectedMs(0, SLOTS, 0));
  }

  @Test
  void fourTimesFasterIsLearned() {
    freeSlots(30, 0, 37);

    assertThat(turnover.expectedMs(0, SLOTS, 1_110)).isBetween(33L, 45L);
  }

  @Test
  void fourTimesSlowerIsLearned() {
    freeSlots(30, 0, 600);

    assertThat(turnover.expectedMs(0, SLOTS, 18_000)).isBetween(550L, 650L);
  }

  @Test
  void changeIsFollowed() {
    freeSlots(50, 0, 50);
    freeSlots(30, 2_500, 200);

    assertThat(turnover.expectedMs(0, SLOTS, 8_500)).isBetween(180L, 220L);
  }

  /**
   * Guards against expected waits that are too short once no slot becomes free, as after a crash of
   * engines; callers would wait in vain.
   */
  @Test
  void standstillRaisesTheEstimate() {
    freeSlots(50, 0, 50);

    assertThat(turnover.expectedMs(1, SLOTS, 4_500)).isGreaterThanOrEqualTo(4_000);
  }
}
