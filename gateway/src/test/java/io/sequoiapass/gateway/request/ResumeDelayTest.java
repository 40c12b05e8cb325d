package io.sequoiapass.gateway.request;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Callers wait for an adapter and disconnect while the daemon's process is paused for a second.
 * When it resumes, the timers of the waits fire before the closed connections are read, so the
 * requests of callers that have left would reach an engine.
 */
class ResumeDelayTest {

  @Test
  void lateTimerWaitsForReads() {
    assertThat(ResumeDelay.isAfterPause(1_000, 2_600)).isTrue();
  }

  @Test
  void punctualTimerDoesNotWait() {
    assertThat(ResumeDelay.isAfterPause(1_000, 1_020)).isFalse();
  }
}
