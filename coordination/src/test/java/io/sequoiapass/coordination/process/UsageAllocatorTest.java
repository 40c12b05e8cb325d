package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UsageAllocatorTest {

  @Test
  void usualUsageIsNeverRefused() {
    UsageFleet fleet = new UsageFleet(1);
    fleet.play(4_000, 0.5);
    double before = fleet.asked;
    fleet.play(20_000, 0.55);

    assertThat(fleet.admittedBetween(4_000, 24_000)).isEqualTo(fleet.asked - before);
  }

  /** Guards against a limit that still allows what the one before it did. */
  @Nested
  class LoweredLimit {

    @Test
    void bindsOneWindowLater() {
      UsageFleet fleet = new UsageFleet(3);
      fleet.play(12_000, 0.55);
      fleet.rate = 0.2 * UsageFleet.RATE;
      fleet.play(20_000, 0.55);

      double window = fleet.admittedBetween(15_000, 23_000);
      assertThat(window)
          .isLessThan(
              (0.2 * UsageFleet.RATE * 9) * UsageFleet.ALLOWED_OVERSHOOT + UsageFleet.SLACK);
      assertThat(fleet.admittedBetween(23_000, 32_000))
          .isGreaterThan(0.9 * 9 * 0.2 * UsageFleet.RATE);
    }
  }

  /** Guards against a coordinator that alone has counted a window but does not hear all daemons. */
  @ParameterizedTest
  @CsvSource({"131, 1.58", "131, 2.21", "3335, 1.42", "61, 1.42", "66115, 2.59"})
  void replacedCoordinatorsAndFlakyLinksKeepTheLimit(long seed, double timesLimit) {
    UsageFleet fleet = new UsageFleet(seed);
    fleet.playReplacedCoordinatorsAndFlakyLinks(timesLimit);

    assertThat(fleet.worstWindow()).isLessThanOrEqualTo(1);
  }
}
