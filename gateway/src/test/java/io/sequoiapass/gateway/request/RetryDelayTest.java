package io.sequoiapass.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against refused callers that return at the same moment. */
class RetryDelayTest {

  @Test
  void delaysAreSpread() {
    assertThat(RetryDelay.spread(1_000, 0, 30_000, 0)).isEqualTo(1_000);
    assertThat(RetryDelay.spread(1_000, 0, 30_000, 1)).isEqualTo(1_500);
  }

  @Test
  void urgentCallersReturnEarlier() {
    assertThat(RetryDelay.spread(1_000, 0, 30_000, 0.5))
        .isLessThan(RetryDelay.spread(1_000, 9, 30_000, 0.5));
  }

  @Test
  void spreadDelayIsAtMostAThirdOfTheRemainingTime() {
    assertThat(RetryDelay.spread(900, 9, 3_000, 1)).isEqualTo(1_000);
  }

  /** Guards against callers that return before there is room. */
  @Test
  void delayIsNeverShorterThanStated() {
    assertThat(RetryDelay.spread(2_500, 0, 800, 0)).isEqualTo(2_500);
    assertThat(RetryDelay.spread(1_000, 9, -5, 1)).isEqualTo(1_000);
    assertThat(RetryDelay.spread(100, 0, 3_000, 0)).isEqualTo(100);
  }
}
