package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import java.util.Objects;

/**
 * Value of a lease object on the platform.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param daemon the holder
 * @param address the holder's address for peer connections
 * @param incarnation the holder's incarnation; a later process with the same daemon name has a
 *     higher one
 * @param renewals the count of renewals; makes each renewal change the object
 * @param durationMillis the validity of a renewal
 * @param state the state that the holder declares
 */
public record LeaseRecord(
    DaemonId daemon,
    String address,
    long incarnation,
    long renewals,
    long durationMillis,
    LeaseState state) {

  /** Checks the components. */
  public LeaseRecord {
    Objects.requireNonNull(daemon, "daemon");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(state, "state");
    if (durationMillis <= 0) {
      throw new IllegalArgumentException("lease duration must be > 0: " + durationMillis);
    }
  }
}
