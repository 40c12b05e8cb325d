package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationCurrencyTest {

  private static final long WALL = 1_700_000_000_000L;

  private final ConfigurationCurrency currency = new ConfigurationCurrency();

  private static ClockReading at(long ms) {
    return new ClockReading(ms, WALL + ms);
  }

  @Test
  void withoutProofThereIsNoAge() {
    currency.applied(7);

    assertThat(currency.ageMs(at(0))).isEmpty();
  }

  @Test
  void ageCountsFromTheQuestionNotTheAnswer() {
    currency.applied(7);
    currency.proved(at(1_000), 7);

    assertThat(currency.ageMs(at(4_200))).hasValue(3_200);
  }

  /** Guards against a frame that a partition held back and that is taken for a recent proof. */
  @Test
  void laterArrivalOfAnEarlierQuestionChangesNothing() {
    currency.applied(7);
    currency.proved(at(2_000), 7);
    currency.proved(at(500), 7);

    assertThat(currency.ageMs(at(2_100))).hasValue(100);
  }

  /** Guards against serving a removed key although the store is known to have a newer revision. */
  @Test
  void proofOfANewerRevisionCountsOnceThatIsApplied() {
    currency.applied(7);
    currency.proved(at(1_000), 7);
    currency.proved(at(2_000), 9);
    assertThat(currency.ageMs(at(2_500))).hasValue(1_500);

    currency.applied(9);
    assertThat(currency.ageMs(at(2_500))).hasValue(500);
  }

  /** Guards against a host that was suspended while a key was removed, and serves on as before. */
  @Nested
  class ClocksThatDisagree {

    @Test
    void suspensionCountsAlthoughTheMonotonicClockStops() {
      currency.applied(7);
      currency.proved(at(1_000), 7);
      ClockReading resumed = new ClockReading(1_200, WALL + 1_200 + 6_000);

      assertThat(currency.ageMs(resumed)).hasValue(6_200);
    }

    @Test
    void stepOfTheWallClockNeverMakesAProofYounger() {
      currency.applied(7);
      currency.proved(at(1_000), 7);

      assertThat(currency.ageMs(new ClockReading(1_500, WALL + 1_500 - 2_000))).hasValue(2_500);
      assertThat(currency.ageMs(new ClockReading(1_500, WALL + 1_500 + 2_000))).hasValue(2_500);
    }

    @Test
    void newProofAfterAStepIsYoungAgain() {
      currency.applied(7);
      currency.proved(at(1_000), 7);
      currency.proved(new ClockReading(1_500, WALL + 3_500), 7);

      assertThat(currency.ageMs(new ClockReading(1_700, WALL + 3_700))).hasValue(200);
    }
  }
}
