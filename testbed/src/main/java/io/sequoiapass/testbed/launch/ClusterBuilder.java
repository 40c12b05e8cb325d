package io.sequoiapass.testbed.launch;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** Builds a {@link Cluster}; not safe for use by several threads. */
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
   * @param count how many
   */
  public ClusterBuilder dataCentres(int count) {
    dataCentres = IntStream.rangeClosed(1, count).mapToObj(i -> "dc-" + i).toList();
    return this;
  }

  /**
   * Sets the daemons in each data centre.
   *
   * @param count how many
   */
  public ClusterBuilder daemons(int count) {
    daemons = checked("daemons", count);
    return this;
  }

  /**
   * Sets the engines in each data centre.
   *
   * @param count how many
   */
  public ClusterBuilder engines(int count) {
    engines = checked("engines", count);
    return this;
  }

  /**
   * Sets the endpoints of the plain service in each data centre.
   *
   * @param count how many
   */
  public ClusterBuilder services(int count) {
    services = checked("services", count);
    return this;
  }

  /**
   * Sets the adapters configured.
   *
   * @param count how many
   */
  public ClusterBuilder adapters(int count) {
    adapters = checked("adapters", count);
    return this;
  }

  /**
   * Sets what each engine holds and runs.
   *
   * @param adapterSlots adapters at once
   * @param streams streams at once
   */
  public ClusterBuilder engineSize(int adapterSlots, int streams) {
    slots = checked("slots", adapterSlots);
    maxStreams = checked("streams", streams);
    return this;
  }

  /**
   * Sets whether engines refuse orders with an old fencing number.
   *
   * @param checks whether they do
   */
  public ClusterBuilder checksFence(boolean checks) {
    checksFence = checks;
    return this;
  }

  /** Puts fault proxies between daemons, endpoints and platform. */
  public ClusterBuilder withProxies() {
    proxies = ProxyPlan.ALL;
    return this;
  }

  /** Puts fault proxies between daemons and platform only. */
  public ClusterBuilder withPlatformProxies() {
    proxies = ProxyPlan.PLATFORM;
    return this;
  }

  /**
   * Adds flags to each engine's command.
   *
   * @param flags the flags
   */
  public ClusterBuilder engineFlags(String... flags) {
    engineFlags = List.of(flags);
    return this;
  }

  /**
   * Adds flags to the platform's command.
   *
   * @param flags the flags
   */
  public ClusterBuilder platformFlags(String... flags) {
    platformFlags = List.of(flags);
    return this;
  }

  /**
   * Sets the daemons' leases, in place of the defaults.
   *
   * @param durationMs how long a lease lasts, in milliseconds
   * @param marginMs how long before its end a daemon stops its orders, in milliseconds
   * @param heartbeatMs time between heartbeats, in milliseconds
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
   * Adds flags to each daemon's command.
   *
   * @param flags the flags
   */
  public ClusterBuilder daemonFlags(String... flags) {
    daemonFlags = List.of(flags);
    return this;
  }

  /**
   * Adds flags to each daemon's virtual machine.
   *
   * @param flags the flags
   */
  public ClusterBuilder daemonJvmFlags(String... flags) {
    daemonJvmFlags = List.of(flags);
    return this;
  }

  /**
   * Starts the cluster and returns once every process listens.
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

  private static int checked(String name, int count) {
    if (count < 0) {
      throw new IllegalArgumentException(name + " must not be negative: " + count);
    }
    return count;
  }
}
