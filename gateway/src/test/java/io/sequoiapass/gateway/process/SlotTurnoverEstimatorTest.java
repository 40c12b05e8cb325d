package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SlotTurnoverEstimatorTest {

  private static final int PLACES = 10;

  private final SlotTurnoverEstimator turnover = new SlotTurnoverEstimator();

  private void placesBecomeFree(int times, long from, long eachMs) {
    turnover.waiting(from);
    for (int i = 1; i <= times; i++) {
      turnover.placed(from + i * eachMs);
    }
  }

  @Test
  void firstGuessGoesByThePlaces() {
    assertThat(turnover.expectedMs(0, PLACES, 0)).isBetween(100L, 300L);
    assertThat(turnover.expectedMs(3, PLACES, 0)).isEqualTo(4 * turnover.expectedMs(0, PLACES, 0));
  }

  @Test
  void fourTimesFasterIsLearned() {
    placesBecomeFree(30, 0, 37);

    assertThat(turnover.expectedMs(0, PLACES, 1_110)).isBetween(33L, 45L);
  }

  @Test
  void fourTimesSlowerIsLearned() {
    placesBecomeFree(30, 0, 600);

    assertThat(turnover.expectedMs(0, PLACES, 18_000)).isBetween(550L, 650L);
  }

  @Test
  void changeIsFollowed() {
    placesBecomeFree(50, 0, 50);
    placesBecomeFree(30, 2_500, 200);

    assertThat(turnover.expectedMs(0, PLACES, 8_500)).isBetween(180L, 220L);
  }

  /**
   * Guards against expected waits that are too short once no slot becomes free, as after a crash of
   * engines; callers would wait in vain.
   */
  @Test
  void standstillShowsBeforeThereIsAnotherPlace() {
    placesBecomeFree(50, 0, 50);

    assertThat(turnover.expectedMs(1, PLACES, 4_500)).isGreaterThanOrEqualTo(4_000);
  }
}
