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
  void aChangeTakesEffectAtItsEffectiveTime() {
    schedule.add(ORDINARY);
    assertThat(schedule.inForce(500)).contains(Preset.ORDINARY);
    schedule.add(PEAK);
    assertThat(schedule.inForce(999)).contains(Preset.ORDINARY);
    assertThat(schedule.inForce(1_000)).contains(Preset.PEAK);
  }

  @Test
  void aChangeReplacedBeforeItsEffectiveTimeNeverTakesEffect() {
    schedule.add(ORDINARY);
    schedule.inForce(0);
    schedule.add(PEAK);
    schedule.add(MAINTENANCE);
    assertThat(schedule.inForce(1_500)).contains(Preset.ORDINARY);
    assertThat(schedule.inForce(2_000)).contains(Preset.MAINTENANCE);
  }

  @Test
  void anOlderChangeFromAStalePeerIsIgnored() {
    schedule.add(PEAK);
    assertThat(schedule.add(ORDINARY)).isFalse();
    assertThat(schedule.inForce(1_000)).contains(Preset.PEAK);
  }

  @Test
  void aWallClockThatStepsBackDoesNotUndoASwitch() {
    schedule.add(ORDINARY);
    schedule.inForce(0);
    schedule.add(PEAK);
    schedule.inForce(1_000);
    assertThat(schedule.inForce(500)).contains(Preset.PEAK);
  }

  /**
   * Operators change the preset while a data centre is disconnected; its daemons keep their last
   * preset.
   */
  @Nested
  class Disconnected {

    @Test
    void aDaemonKeepsItsLastPreset() {
      schedule.add(ORDINARY);
      assertThat(schedule.inForce(86_400_000)).contains(Preset.ORDINARY);
    }

    @Test
    void aChangeReceivedBeforeDisconnectionTakesEffectAtItsTime() {
      schedule.add(ORDINARY);
      schedule.inForce(0);
      schedule.add(PEAK);
      assertThat(schedule.inForce(1_200)).contains(Preset.PEAK);
    }

    @Test
    void aChangeReceivedAfterItsEffectiveTimeTakesEffectImmediately() {
      schedule.add(ORDINARY);
      schedule.inForce(5_000);
      schedule.add(PEAK);
      assertThat(schedule.inForce(5_000)).contains(Preset.PEAK);
    }

    @Test
    void aStartingDaemonWithOnlyAPendingChangeHasNoPreset() {
      schedule.add(PEAK);
      assertThat(schedule.inForce(999)).isEmpty();
    }
  }
}
