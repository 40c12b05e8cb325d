package io.sequoiapass.coordination.version;

import static org.assertj.core.api.Assertions.assertThat;

import io.sequoiapass.coordination.version.ConfigurationObject.PresetRecord;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PresetScheduleTest {

  private static final PresetRecord ORDINARY = new PresetRecord(1, Preset.ORDINARY, 0);
  private static final PresetRecord PEAK = new PresetRecord(2, Preset.PEAK, 1_000);
  private static final PresetRecord MAINTENANCE = new PresetRecord(3, Preset.MAINTENANCE, 2_000);

  private final PresetSchedule schedule = PresetSchedule.empty();

  @Test
  void everyDaemonSwitchesAtTheMomentTheChangeNames() {
    schedule.learned(ORDINARY);
    assertThat(schedule.inForce(500)).contains(Preset.ORDINARY);
    schedule.learned(PEAK);
    assertThat(schedule.inForce(999)).contains(Preset.ORDINARY);
    assertThat(schedule.inForce(1_000)).contains(Preset.PEAK);
  }

  @Test
  void aChangeReplacedBeforeItsMomentNeverComesIntoForce() {
    schedule.learned(ORDINARY);
    schedule.inForce(0);
    schedule.learned(PEAK);
    schedule.learned(MAINTENANCE);
    assertThat(schedule.inForce(1_500)).contains(Preset.ORDINARY);
    assertThat(schedule.inForce(2_000)).contains(Preset.MAINTENANCE);
  }

  @Test
  void anOlderChangeFromAStalePeerIsRefused() {
    schedule.learned(PEAK);
    assertThat(schedule.learned(ORDINARY)).isFalse();
    assertThat(schedule.inForce(1_000)).contains(Preset.PEAK);
  }

  @Test
  void aWallClockThatStepsBackSwitchesNothing() {
    schedule.learned(ORDINARY);
    schedule.inForce(0);
    schedule.learned(PEAK);
    schedule.inForce(1_000);
    assertThat(schedule.inForce(500)).contains(Preset.PEAK);
  }

  /** Operators change the preset while a data centre is cut off: its daemons keep their last. */
  @Nested
  class CutOff {

    @Test
    void aDaemonKeepsItsLastPreset() {
      schedule.learned(ORDINARY);
      assertThat(schedule.inForce(86_400_000)).contains(Preset.ORDINARY);
    }

    @Test
    void aChangeKnownBeforeTheCutComesIntoForceAtItsMoment() {
      schedule.learned(ORDINARY);
      schedule.inForce(0);
      schedule.learned(PEAK);
      assertThat(schedule.inForce(1_200)).contains(Preset.PEAK);
    }

    @Test
    void aChangeLearnedAfterItsMomentComesIntoForceAtOnce() {
      schedule.learned(ORDINARY);
      schedule.inForce(5_000);
      schedule.learned(PEAK);
      assertThat(schedule.inForce(5_000)).contains(Preset.PEAK);
    }

    @Test
    void aFreshDaemonThatKnowsOnlyAComingChangeHasNone() {
      schedule.learned(PEAK);
      assertThat(schedule.inForce(999)).isEmpty();
    }
  }
}
