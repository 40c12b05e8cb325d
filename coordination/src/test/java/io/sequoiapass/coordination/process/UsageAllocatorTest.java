package io.sequoiapass.coordination.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

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
}
