package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.version.ConfigurationObject.PresetRecord;
import java.util.Optional;

/**
 * Tells which preset is in force: each change names the moment at which every daemon switches.
 *
 * <pre>{@code
 * PresetSchedule schedule = PresetSchedule.empty();
 * schedule.learned(record);
 * Optional<Preset> preset = schedule.inForce(wallClock.millis());
 * }</pre>
 *
 * <p>Rules: the highest version that is known and whose moment has come is in force; a change that
 * was replaced before its moment never is. A daemon that is cut off keeps its last, and a change
 * that it knew before the cut still comes into force at its moment; one that it learns late, at
 * once. A daemon that knows no preset whose moment has come has none and must not serve yet: it
 * cannot tell what the others have. Not thread-safe; one shard drives it.
 */
public final class PresetSchedule {

  private Optional<PresetRecord> inForce = Optional.empty();
  private Optional<PresetRecord> pending = Optional.empty();

  private PresetSchedule() {}

  /** Returns a schedule that knows no preset. */
  public static PresetSchedule empty() {
    return new PresetSchedule();
  }

  /**
   * Takes in a preset object; an older one than the newest known changes nothing.
   *
   * @param record the object
   * @return whether it is newer
   */
  public boolean learned(PresetRecord record) {
    if (record.version() <= newestVersion()) {
      return false;
    }
    pending = Optional.of(record);
    return true;
  }

  /**
   * Returns the preset in force, if one is known.
   *
   * @param wallMillis the wall clock
   */
  public Optional<Preset> inForce(long wallMillis) {
    // Once switched, a wall clock that steps back does not switch again: two daemons would differ
    // for as long as the step.
    if (pending.isPresent() && wallMillis >= pending.get().effectiveAtWallMillis()) {
      inForce = pending;
      pending = Optional.empty();
    }
    return inForce.map(PresetRecord::preset);
  }

  /** Returns the change that has not come into force, if there is one. */
  public Optional<PresetRecord> pending() {
    return pending;
  }

  /** Returns the record in force as of the last question, so that a new daemon can be told both. */
  public Optional<PresetRecord> current() {
    return inForce;
  }

  private long newestVersion() {
    return pending.or(() -> inForce).map(PresetRecord::version).orElse(0L);
  }
}
