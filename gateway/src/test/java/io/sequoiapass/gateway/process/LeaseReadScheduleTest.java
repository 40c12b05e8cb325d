package io.sequoiapass.gateway.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class LeaseReadScheduleTest {

  private static final boolean TOLD = true;

  private final LeaseReadSchedule schedule = new LeaseReadSchedule();

  @Test
  void firstReadIsDueAtOnce() {
    assertThat(schedule.isDue(!TOLD, 0)).isTrue();
    assertThat(schedule.isDue(TOLD, 0)).isTrue();
  }

  /** Guards against a region whose daemons all poll for the successor of one coordinator. */
  @Test
  void daemonThatIsToldReadsRarely() {
    schedule.read(0);

    assertThat(schedule.isDue(TOLD, LeaseReadSchedule.TOLD_MS - 1)).isFalse();
    assertThat(schedule.isDue(TOLD, LeaseReadSchedule.TOLD_MS)).isTrue();
  }

  @Test
  void daemonThatIsAloneReadsOften() {
    schedule.read(0);

    assertThat(schedule.isDue(!TOLD, LeaseReadSchedule.ALONE_MS)).isTrue();
  }
}
