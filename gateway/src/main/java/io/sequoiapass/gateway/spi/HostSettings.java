package io.sequoiapass.gateway.spi;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;

/**
 * Holds the checked settings of one daemon on its host.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param daemon the daemon's name
 * @param dataCentre where it runs
 * @param regions the region of each data centre
 * @param callers where callers connect
 * @param readiness where the load balancer asks whether the daemon takes connections
 * @param links where other daemons connect
 * @param store where the platform's store listens
 * @param cores processor cores to use
 * @param bounds what the operators promise and ask for
 */
public record HostSettings(
    DaemonId daemon,
    DataCentreId dataCentre,
    Map<DataCentreId, String> regions,
    InetSocketAddress callers,
    InetSocketAddress readiness,
    InetSocketAddress links,
    InetSocketAddress store,
    int cores,
    Bounds bounds) {

  /** Checks that nothing is missing. */
  public HostSettings {
    Objects.requireNonNull(daemon, "daemon");
    Objects.requireNonNull(dataCentre, "dataCentre");
    regions = Map.copyOf(regions);
    if (cores < 1) {
      throw new IllegalArgumentException("cores must be at least 1: " + cores);
    }
  }

  /**
   * The times and shares that the deployment sets.
   *
   * @param graceMs from the signal to stop until the process is killed, in milliseconds
   * @param drainMs how long an endpoint that leaves still serves, in milliseconds
   * @param leaseMs the shortest time between orders of two holders, in milliseconds
   * @param versionMs the time after which no request may begin on an older adapter version
   * @param retryRatio repeats that are allowed for each request of a service, over all daemons
   * @param retrySlack repeats that are allowed in a window besides
   * @param retryWindowMs the window over which repeats are counted, in milliseconds
   * @param loadWindowMs the window over which loads of base models are counted, in milliseconds
   * @param fenced whether endpoints refuse orders with an old epoch number
   */
  public record Bounds(
      long graceMs,
      long drainMs,
      long leaseMs,
      long versionMs,
      double retryRatio,
      double retrySlack,
      long retryWindowMs,
      long loadWindowMs,
      boolean fenced) {}
}
