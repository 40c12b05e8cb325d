package io.sequoiapass.testbed.launch;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** Builder of a {@link Cluster}; not safe for use by several threads. */
public final class ClusterBuilder {

  private List<String> dataCentres = List.of("yard-north");
  private int daemons = 1;
  private int engines = 1;
  private int services;
  private int adapters = 10;
  private int slots = 4;
  private int maxStreams = 16;
  private boolean checksFence = true;
  private ProxyPlan proxies = ProxyPlan.NONE;
  private List<String> engineFlags = List.of();
  private List<String> platformFlags = List.of();
  private List<String> leaseFlags = List.of();
  private List<String> daemonFlags = List.of();
  private List<String> daemonJvmFlags = List.of();

  ClusterBuilder() {}

  /**
   * Sets the data centres.
   *
   * @param names their names
   */
  public ClusterBuilder dataCentres(String... names) {
    dataCentres = List.of(names);
    return this;
  }

  /**
   * Sets data centres named {@code dc-1}, {@code dc-2} and so on.
   *
   * @param count the number
   */
  public ClusterBuilder dataCentres(int count) {
    dataCentres = IntStream.rangeClosed(1, count).mapToObj(i -> "dc-" + i).toList();
    return this;
  }

  /**
   * Sets the number of daemons in each data centre.
   *
   * @param count the number
   */
  public ClusterBuilder daemons(int count) {
    daemons = requireNonNegative("daemons", count);
    return this;
  }

  /**
   * Sets the number of engines in each data centre.
   *
   * @param count the number
   */
  public ClusterBuilder engines(int count) {
    engines = requireNonNegative("engines", count);
    return this;
  }

  /**
   * Sets the number of endpoints of the plain service in each data centre.
   *
   * @param count the number
   */
  public ClusterBuilder services(int count) {
    services = requireNonNegative("services", count);
    return this;
  }

  /**
   * Sets the number of configured adapters.
   *
   * @param count the number
   */
  public ClusterBuilder adapters(int count) {
    adapters = requireNonNegative("adapters", count);
    return this;
  }

  /**
   * Sets the capacity of each engine.
   *
   * @param adapterSlots adapter slots
   * @param streams maximum concurrent streams
   */
  public ClusterBuilder engineSize(int adapterSlots, int streams) {
    slots = requireNonNegative("slots", adapterSlots);
    maxStreams = requireNonNegative("streams", streams);
    return this;
  }

  /**
   * Sets whether engines reject orders with an outdated fencing number.
   *
   * @param checks whether they do
   */
  public ClusterBuilder checksFence(boolean checks) {
    checksFence = checks;
    return this;
  }

  /** Puts fault proxies between each daemon and the platform, its peers and the endpoints. */
  public ClusterBuilder withProxies() {
    proxies = ProxyPlan.ALL;
    return this;
  }

  /** Puts fault proxies between daemons and the platform only. */
  public ClusterBuilder withPlatformProxies() {
    proxies = ProxyPlan.PLATFORM;
    return this;
  }

  /**
   * Sets additional command-line flags of each engine, replacing earlier ones.
   *
   * @param flags the flags
   */
  public ClusterBuilder engineFlags(String... flags) {
    engineFlags = List.of(flags);
    return this;
  }

  /**
   * Sets additional command-line flags of the platform, replacing earlier ones.
   *
   * @param flags the flags
   */
  public ClusterBuilder platformFlags(String... flags) {
    platformFlags = List.of(flags);
    return this;
  }

  /**
   * Overrides the lease settings of the daemons.
   *
   * @param durationMs lease duration in milliseconds
   * @param marginMs time before lease expiry at which a daemon stops sending orders, in
   *     milliseconds
   * @param heartbeatMs heartbeat interval in milliseconds
   */
  public ClusterBuilder leases(int durationMs, int marginMs, int heartbeatMs) {
    leaseFlags =
        List.of(
            "--lease-duration-ms=" + durationMs,
            "--lease-margin-ms=" + marginMs,
            "--heartbeat-interval-ms=" + heartbeatMs);
    return this;
  }

  /**
   * Sets additional command-line flags of each daemon, replacing earlier ones.
   *
   * @param flags the flags
   */
  public ClusterBuilder daemonFlags(String... flags) {
    daemonFlags = List.of(flags);
    return this;
  }

  /**
   * Sets additional JVM flags of each daemon, replacing earlier ones.
   *
   * @param flags the flags
   */
  public ClusterBuilder daemonJvmFlags(String... flags) {
    daemonJvmFlags = List.of(flags);
    return this;
  }

  /**
   * Starts the cluster and returns once every process is listening.
   *
   * @throws IOException if a process does not start
   * @throws InterruptedException if the wait is interrupted
   */
  public Cluster start() throws IOException, InterruptedException {
    List<String> allDaemonFlags = new ArrayList<>(leaseFlags);
    allDaemonFlags.addAll(daemonFlags);
    return Cluster.start(
        new ClusterSettings(
            dataCentres,
            daemons,
            engines,
            services,
            adapters,
            slots,
            maxStreams,
            checksFence,
            proxies,
            engineFlags,
            platformFlags,
            allDaemonFlags,
            daemonJvmFlags));
  }

  private static int requireNonNegative(String name, int count) {
    if (count < 0) {
      throw new IllegalArgumentException(name + " must not be negative: " + count);
    }
    return count;
  }
}
