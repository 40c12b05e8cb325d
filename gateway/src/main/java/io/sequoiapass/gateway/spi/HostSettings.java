package io.sequoiapass.gateway.spi;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.RetryTerms;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The validated settings of one daemon.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param daemon the daemon's name
 * @param dataCentre where it runs
 * @param regions the region of each data centre
 * @param callers the address for callers
 * @param readiness the address of the load balancer's readiness check
 * @param links the address for other daemons
 * @param peers the address for requests of other daemons
 * @param store the address of the platform's store
 * @param endpointSource the address of this host from which it connects to endpoints; empty for any
 * @param cores number of processor cores to use
 * @param linkBytesPerS rate of the network link, in bytes a second; empty if it is not stated
 * @param bounds times and limits that the deployment sets
 */
public record HostSettings(
    DaemonId daemon,
    DataCentreId dataCentre,
    Map<DataCentreId, String> regions,
    InetSocketAddress callers,
    InetSocketAddress readiness,
    InetSocketAddress links,
    InetSocketAddress peers,
    InetSocketAddress store,
    Optional<InetAddress> endpointSource,
    int cores,
    OptionalLong linkBytesPerS,
    Bounds bounds) {

  /** Checks that no name is null and that there is at least one core. */
  public HostSettings {
    Objects.requireNonNull(daemon, "daemon");
    Objects.requireNonNull(dataCentre, "dataCentre");
    regions = Map.copyOf(regions);
    if (cores < 1) {
      throw new IllegalArgumentException("cores must be at least 1: " + cores);
    }
  }

  /** Creates settings that state no rate of the network link. */
  public HostSettings(
      DaemonId daemon,
      DataCentreId dataCentre,
      Map<DataCentreId, String> regions,
      InetSocketAddress callers,
      InetSocketAddress readiness,
      InetSocketAddress links,
      InetSocketAddress peers,
      InetSocketAddress store,
      Optional<InetAddress> endpointSource,
      int cores,
      Bounds bounds) {
    this(
        daemon,
        dataCentre,
        regions,
        callers,
        readiness,
        links,
        peers,
        store,
        endpointSource,
        cores,
        OptionalLong.empty(),
        bounds);
  }

  /** Returns the data centres of other regions. */
  public List<DataCentreId> otherRegions() {
    String region = regions.get(dataCentre);
    return regions.entrySet().stream()
        .filter(entry -> !entry.getValue().equals(region))
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Times and limits that the deployment sets.
   *
   * @param graceMs time from the stop signal until the process is killed, in milliseconds
   * @param drainMs how long a leaving endpoint still serves, in milliseconds
   * @param leaseMs the shortest time between the orders of two successive lease holders, in
   *     milliseconds
   * @param versionMs the time after which no request may begin on an older adapter version
   * @param retryRatio retries allowed for each request of a service, over all daemons
   * @param retrySlack retries allowed in a window in addition to the ratio
   * @param retryWindowMs the window over which retries are counted, in milliseconds
   * @param loadWindowMs the window over which loads of base models are counted, in milliseconds
   * @param fenced whether endpoints reject orders with an outdated fencing number
   * @param configurationMs time after which a new configuration must be in force, in milliseconds
   * @param revocationMs time after which a removed API key must not be accepted by any daemon, in
   *     touch with the store or not, in milliseconds; empty if that is not required
   * @param usageWindowMs length of the windows in which usage limits hold, in milliseconds
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
      boolean fenced,
      long configurationMs,
      OptionalLong revocationMs,
      long usageWindowMs) {

    /** Returns the retry budget of each service, which all daemons share. */
    public RetryTerms retryTerms() {
      return new RetryTerms(retryRatio, retrySlack, retryWindowMs);
    }
  }
}
