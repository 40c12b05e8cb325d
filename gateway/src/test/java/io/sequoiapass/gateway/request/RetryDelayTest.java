package io.sequoiapass.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against refused callers that return at the same moment. */
class RetryDelayTest {

  @Test
  void delaysAreSpread() {
    assertThat(RetryDelay.spread(1_000, 0, 30_000, 0)).isEqualTo(500);
    assertThat(RetryDelay.spread(1_000, 0, 30_000, 1)).isEqualTo(1_500);
  }

  @Test
  void urgentCallersReturnEarlier() {
    assertThat(RetryDelay.spread(1_000, 0, 30_000, 0.5))
        .isLessThan(RetryDelay.spread(1_000, 9, 30_000, 0.5));
  }

  /** Callers ignore a longer delay, and retry when they like. */
  @Test
  void delayIsAtMostAThirdOfTheRemainingTime() {
    assertThat(RetryDelay.spread(Long.MAX_VALUE, 9, 3_000, 1)).isEqualTo(1_000);
    assertThat(RetryDelay.spread(1_000, 9, -5, 1)).isZero();
  }
}
