package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Accepts requests before and after the end of a planned stop. */
class PlannedStopScheduleTest {

  private static final long NOW = 1_000;

  /** Guards against a request that is accepted while the process exits, and gets no answer. */
  @Test
  void acceptsNothingAfterAnEarlyEnd() {
    PlannedStop stop = new PlannedStop();
    stop.start(new DrainSchedule(NOW, 10 * NOW));
    assertThat(stop.accepts(100, NOW)).isTrue();

    stop.end();

    assertThat(stop.accepts(100, NOW)).isFalse();
  }
}
