package io.sequoiapass.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Callers wait for an adapter and leave; their process stands still for a second meanwhile. When it
 * goes on, the timers of the waits fire before the ends of the callers' connections are read, and
 * the requests of callers who have left would reach an engine.
 */
class ResumeDelayTest {

  @Test
  void timerThatFiresLongAfterItsTimeWaitsForTheReads() {
    assertThat(ResumeDelay.isAfterStandstill(1_000, 2_600)).isTrue();
  }

  @Test
  void timerThatFiresInItsTimeGoesOn() {
    assertThat(ResumeDelay.isAfterStandstill(1_000, 1_020)).isFalse();
  }
}
