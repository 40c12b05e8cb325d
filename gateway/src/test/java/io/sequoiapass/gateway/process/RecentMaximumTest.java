package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a new coordinator's few links being taken for the size of the fleet. */
class RecentMaximumTest {

  private final RecentMaximum maximum = new RecentMaximum(30_000);

  @Test
  void smallerNumberCountsOnlyAfterThePeriod() {
    maximum.add(6, 1_000);
    maximum.add(1, 2_000);
    assertThat(maximum.value()).isEqualTo(6);

    maximum.add(1, 31_000);
    assertThat(maximum.value()).isEqualTo(1);
  }

  @Test
  void numberOfARunningFleetIsKept() {
    for (long now = 0; now < 100_000; now += 450) {
      maximum.add(89, now);
    }
    maximum.add(2, 100_100);
    assertThat(maximum.value()).isEqualTo(89);
  }

  @Test
  void lastNumberStaysWithoutReports() {
    maximum.add(6, 1_000);
    assertThat(maximum.value()).isEqualTo(6);
  }
}
