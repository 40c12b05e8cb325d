package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import java.util.Objects;

/**
 * The value of a lease object on the platform.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param daemon the holder
 * @param address where peers reach it
 * @param incarnation the holder's process; a later process under the name has a higher one
 * @param renewals counts the renewals, so that each changes the object
 * @param durationMillis how long a renewal lasts
 * @param state what the holder says of itself
 */
public record LeaseRecord(
    DaemonId daemon,
    String address,
    long incarnation,
    long renewals,
    long durationMillis,
    LeaseState state) {

  /** Checks the parts. */
  public LeaseRecord {
    Objects.requireNonNull(daemon, "daemon");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(state, "state");
    if (durationMillis <= 0) {
      throw new IllegalArgumentException("lease duration must be > 0: " + durationMillis);
    }
  }
}
