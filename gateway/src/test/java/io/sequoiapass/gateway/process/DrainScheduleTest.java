package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * A daemon is told to stop and has eight seconds. The load balancer takes it out after two
 * refusals, but callers keep connections, and where few daemons are left new ones still come. A
 * stream that begins five seconds after the signal would be cut in its middle: its caller has to be
 * sent to another daemon instead.
 */
class DrainScheduleTest {

  private static final long SIGNAL = 1_000;
  private static final DrainSchedule STOP = new DrainSchedule(SIGNAL + 2_600, SIGNAL + 7_550);

  @Test
  void allIsTakenWhileTheLoadBalancerStillSends() {
    assertThat(STOP.takes(15_000, SIGNAL + 2_500)).isTrue();
  }

  @Test
  void streamThatWouldBeCutIsRefused() {
    assertThat(STOP.takes(15_000, SIGNAL + 5_000)).isFalse();
  }

  @Test
  void shortCallThatEndsBeforeTheProcessIsTaken() {
    assertThat(STOP.takes(800, SIGNAL + 5_000)).isTrue();
    assertThat(STOP.takes(800, SIGNAL + 7_000)).isFalse();
  }

  @Test
  void withoutAStopAllIsTaken() {
    assertThat(DrainSchedule.NEVER.takes(15_000, Long.MAX_VALUE - 20_000)).isTrue();
  }
}
