package io.sequoiapass.daemon.version;

import io.sequoiapass.coordination.version.ConfigurationObject;
import io.sequoiapass.coordination.version.ConfigurationObject.PresetRecord;
import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.coordination.version.PresetSchedule;
import java.util.List;

/**
 * Tells which preset is in force, and announces each once.
 *
 * <p>Not thread-safe; the node drives it under its lock.
 */
final class PresetInForce {

  private final PresetSchedule schedule = PresetSchedule.empty();
  private Preset announced;

  void learned(List<ConfigurationObject> objects) {
    for (ConfigurationObject object : objects) {
      if (object instanceof PresetRecord preset) {
        schedule.learned(preset);
      }
    }
  }

  /** Returns the preset in force; ordinary until one is known. */
  Preset inForce(long wallMillis) {
    return schedule.inForce(wallMillis).orElse(Preset.ORDINARY);
  }

  // A preset that is known but not yet in force hides the one before it, which the others still
  // have. If none is known at all, the listing that made this daemon ready, or its ready peer's,
  // held none: then there is none, and the ordinary one applies.
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
