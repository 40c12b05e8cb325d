package io.sequoiapass.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FirstTokenTimesTest {

  private final FirstTokenTimes times = new FirstTokenTimes();

  @Test
  void doesNotHedgeWithTooFewSamples() {
    for (int i = 0; i < 31; i++) {
      times.add(50);
    }
    assertThat(times.hedging()).isEmpty();
  }

  @Test
  void hedgesAfter95thPercentile() {
    for (int i = 1; i <= 128; i++) {
      times.add(i);
    }
    assertThat(times.hedging()).contains(new HedgePolicy(121));
  }

  @Test
  void dropsSamplesOutsideWindow() {
    for (int i = 0; i < 256; i++) {
      times.add(i < 128 ? 1_000 : 20);
    }
    assertThat(times.hedging()).contains(new HedgePolicy(20));
  }
}
