package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.version.ConfigurationObject.PresetRecord;
import java.util.Optional;

/**
 * Determines which preset is in force; each change carries the time at which all daemons switch.
 *
 * <pre>{@code
 * PresetSchedule schedule = PresetSchedule.empty();
 * schedule.add(record);
 * Optional<Preset> preset = schedule.inForce(wallClock.millis());
 * }</pre>
 *
 * <p>The highest received version whose effective time has passed is in force; a change that is
 * replaced before its effective time never takes effect. A disconnected daemon keeps its last
 * preset. A change received before the disconnection still takes effect at its time; one received
 * late takes effect immediately. A daemon without a preset in force must not serve, since it cannot
 * determine the preset of the other daemons. Not thread-safe; confined to one shard.
 */
public final class PresetSchedule {

  private Optional<PresetRecord> inForce = Optional.empty();
  private Optional<PresetRecord> pending = Optional.empty();

  private PresetSchedule() {}

  /** Returns a schedule without a preset. */
  public static PresetSchedule empty() {
    return new PresetSchedule();
  }

  /**
   * Adds a preset object; ignores it unless it is newer than all objects added before.
   *
   * @param record the object
   * @return whether the object was newer
   */
  public boolean add(PresetRecord record) {
    if (record.version() <= newestVersion()) {
      return false;
    }
    pending = Optional.of(record);
    return true;
  }

  /**
   * Returns the preset in force, if any.
   *
   * @param wallMillis the wall-clock time, in milliseconds
   */
  public Optional<Preset> inForce(long wallMillis) {
    // A switch is not undone when the wall clock steps back; otherwise two daemons would differ for
    // the length of the step.
    if (pending.isPresent() && wallMillis >= pending.get().effectiveAtWallMillis()) {
      inForce = pending;
      pending = Optional.empty();
    }
    return inForce.map(PresetRecord::preset);
  }

  /** Returns the change that has not taken effect, if any. */
  public Optional<PresetRecord> pending() {
    return pending;
  }

  /**
   * Returns the record in force as of the last call to {@link #inForce}, so that a new daemon can
   * be sent both records.
   */
  public Optional<PresetRecord> current() {
    return inForce;
  }

  private long newestVersion() {
    return pending.or(() -> inForce).map(PresetRecord::version).orElse(0L);
  }
}
