package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against streams that a stopping daemon accepts and cannot finish. */
class DrainScheduleTest {

  private static final long SIGNAL = 1_000;
  private static final DrainSchedule STOP = new DrainSchedule(SIGNAL + 2_600, SIGNAL + 7_550);

  @Test
  void requestsAreAcceptedWhileTheLoadBalancerSendsThem() {
    assertThat(STOP.accepts(15_000, SIGNAL + 2_500)).isTrue();
  }

  @Test
  void streamThatWouldBeTruncatedIsRefused() {
    assertThat(STOP.accepts(15_000, SIGNAL + 5_000)).isFalse();
  }

  @Test
  void shortCallThatEndsBeforeTheProcessIsAccepted() {
    assertThat(STOP.accepts(800, SIGNAL + 5_000)).isTrue();
    assertThat(STOP.accepts(800, SIGNAL + 7_000)).isFalse();
  }

  @Test
  void requestsAreAcceptedWithoutAStop() {
    assertThat(DrainSchedule.NEVER.accepts(15_000, Long.MAX_VALUE - 20_000)).isTrue();
  }
}
