package io.sequoiapass.gateway.spi;

import io.sequoiapass.coordination.DaemonId;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * The lease of one data centre's coordinator, the only daemon that gives orders to its endpoints.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param holder the daemon that holds the lease
 * @param process the id of the daemon's process, so that a restarted daemon does not take the lease
 *     of its previous process for its own
 * @param address where it listens for links of other daemons
 * @param epoch increases with each change of the holder; orders carry it as their fencing number
 * @param renewals number of renewals; makes each renewal a change of the stored object
 * @param released whether the holder has released the lease
 */
public record CoordinatorLease(
    DaemonId holder,
    String process,
    InetSocketAddress address,
    long epoch,
    long renewals,
    boolean released) {

  /** Checks that no component is null. */
  public CoordinatorLease {
    Objects.requireNonNull(holder, "holder");
    Objects.requireNonNull(process, "process");
    Objects.requireNonNull(address, "address");
  }

  /** Returns the renewed lease. */
  public CoordinatorLease renewed() {
    return new CoordinatorLease(holder, process, address, epoch, renewals + 1, false);
  }

  /** Returns the released lease. */
  public CoordinatorLease asReleased() {
    return new CoordinatorLease(holder, process, address, epoch, renewals + 1, true);
  }

  /**
   * Returns whether a process holds it.
   *
   * @param candidate the id of the process
   */
  public boolean isHeldBy(String candidate) {
    return !released && process.equals(candidate);
  }
}
