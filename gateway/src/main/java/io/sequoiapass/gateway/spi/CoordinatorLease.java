package io.sequoiapass.gateway.spi;

import io.sequoiapass.coordination.DaemonId;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * Names the daemon that alone gives orders to the endpoints of one data centre.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param holder the daemon
 * @param process names the daemon's process, so that a restarted daemon does not take its former
 *     process's lease for its own
 * @param address where its links listen
 * @param epoch grows with each change of the holder; orders carry it as their fencing number
 * @param renewals grows with each renewal, so that each one changes the object
 * @param released whether the holder gave the lease up
 */
public record CoordinatorLease(
    DaemonId holder,
    String process,
    InetSocketAddress address,
    long epoch,
    long renewals,
    boolean released) {

  /** Checks that nothing is missing. */
  public CoordinatorLease {
    Objects.requireNonNull(holder, "holder");
    Objects.requireNonNull(process, "process");
    Objects.requireNonNull(address, "address");
  }

  /** Returns the lease as its holder renews it. */
  public CoordinatorLease renewed() {
    return new CoordinatorLease(holder, process, address, epoch, renewals + 1, false);
  }

  /** Returns the lease as its holder gives it up. */
  public CoordinatorLease givenUp() {
    return new CoordinatorLease(holder, process, address, epoch, renewals + 1, true);
  }

  /**
   * Returns whether a process holds it.
   *
   * @param candidate the process's name
   */
  public boolean isHeldBy(String candidate) {
    return !released && process.equals(candidate);
  }
}
