package io.sequoiapass.daemon.version;

import io.sequoiapass.coordination.version.ConfigurationObject;
import io.sequoiapass.coordination.version.ConfigurationObject.PresetRecord;
import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.coordination.version.PresetSchedule;
import java.util.List;

/**
 * Determines the preset in force, and notifies the listener once per change.
 *
 * <p>Not thread-safe; guarded by the lock of the {@link ConfigurationNode}.
 */
final class PresetInForce {

  private final PresetSchedule schedule = PresetSchedule.empty();
  private Preset announced;

  void add(List<ConfigurationObject> objects) {
    for (ConfigurationObject object : objects) {
      if (object instanceof PresetRecord preset) {
        schedule.add(preset);
      }
    }
  }

  /** Returns the preset in force; ORDINARY if there is none. */
  Preset inForce(long wallMillis) {
    return schedule.inForce(wallMillis).orElse(Preset.ORDINARY);
  }

  // A pending preset hides its predecessor, which the other daemons still use. If no preset is
  // present at all, the listing that made this daemon or its ready peer ready contained none, so
  // ORDINARY applies.
  boolean isKnown(long wallMillis) {
    return schedule.inForce(wallMillis).isPresent() || schedule.pending().isEmpty();
  }

  void announce(long wallMillis, ConfigurationListener listener) {
    schedule
        .inForce(wallMillis)
        .filter(preset -> preset != announced)
        .ifPresent(
            preset -> {
              announced = preset;
              listener.presetInForce(preset);
            });
  }
}
