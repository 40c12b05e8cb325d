package io.sequoiapass.testbed.launch;

import io.sequoiapass.daemon.connection.HttpAnswer;
import io.sequoiapass.daemon.connection.HttpCall;
import io.sequoiapass.testbed.cli.Addresses;
import io.sequoiapass.testbed.launch.EndpointNode.EndpointKind;
import io.sequoiapass.testbed.wire.BlockingHttp;
import io.sequoiapass.testbed.wire.PlatformObjects;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A cluster of daemons and stand-ins, each in its own process, with its configuration stored on the
 * platform.
 *
 * <pre>{@code
 * try (Cluster cluster = Cluster.builder().dataCentres("north", "south").daemons(2).start()) {
 *   cluster.awaitReady(20_000);
 *   cluster.daemon("d1").process().kill();
 *   cluster.restart(cluster.daemon("d1"));
 * }
 * }</pre>
 *
 * <p>Daemons are named d1, d2 and so on, engines e1, e2, endpoints of the plain service s1, s2.
 * Safe for use by several threads.
 */
public final class Cluster implements AutoCloseable {

  private static final String TESTBED = "io.sequoiapass.testbed.Testbed";
  private static final String DAEMON = "io.sequoiapass.daemon.Main";
  private static final long START_TIMEOUT_MS = 30_000;
  private static final long POLL_INTERVAL_MS = 50;

  private final ClusterSettings settings;
  private final ProcessLauncher launcher;
  private final BlockingHttp http = new BlockingHttp();
  private final FreePorts ports = new FreePorts();
  private final List<DaemonNode> daemons = new ArrayList<>();
  private final List<EndpointNode> endpoints = new ArrayList<>();
  private final ClusterProxies proxies;
  private final int platformPort;
  private final int weightsPort;
  private LaunchedProcess platform;
  private LaunchedProcess weights;

  private Cluster(ClusterSettings settings) throws IOException {
    this.settings = settings;
    this.launcher = ProcessLauncher.create();
    this.platformPort = ports.allocate();
    this.weightsPort = ports.allocate();
    this.proxies = new ClusterProxies(settings.proxies());
  }

  /** Returns a builder of a cluster with one data centre, one daemon and one engine. */
  public static ClusterBuilder builder() {
    return new ClusterBuilder();
  }

  static Cluster start(ClusterSettings settings) throws IOException, InterruptedException {
    Cluster cluster = new Cluster(settings);
    try {
      cluster.startAll();
      return cluster;
    } catch (IOException | InterruptedException | RuntimeException e) {
      cluster.close();
      throw e;
    }
  }

  private void startAll() throws IOException, InterruptedException {
    createNodes();
    platform = launcher.start("platform", TESTBED, platformCommand());
    weights =
        launcher.start("weights", TESTBED, "weights", "--port", Integer.toString(weightsPort));
    for (EndpointNode endpoint : endpoints) {
      launch(endpoint);
    }
    platform.awaitReady(START_TIMEOUT_MS);
    new ClusterConfiguration(settings, daemons, endpoints, proxies).write(objects());
    for (DaemonNode daemon : daemons) {
      launch(daemon);
    }
    weights.awaitReady(START_TIMEOUT_MS);
    for (EndpointNode endpoint : endpoints) {
      endpoint.process().awaitReady(START_TIMEOUT_MS);
    }
    for (DaemonNode daemon : daemons) {
      daemon.process().awaitReady(START_TIMEOUT_MS);
    }
  }

  private void createNodes() throws IOException {
    for (String dataCentre : settings.dataCentres()) {
      for (int i = 0; i < settings.daemons(); i++) {
        daemons.add(new DaemonNode("d" + (daemons.size() + 1), dataCentre, ports));
      }
      addEndpoints(settings.engines(), "e", dataCentre, EndpointKind.ENGINE);
      addEndpoints(settings.services(), "s", dataCentre, EndpointKind.SERVICE);
    }
    proxies.open(Addresses.loopback(platformPort), daemons, endpoints);
  }

  private void addEndpoints(int count, String prefix, String dataCentre, EndpointKind kind)
      throws IOException {
    for (int i = 0; i < count; i++) {
      long existing = endpoints.stream().filter(endpoint -> endpoint.kind() == kind).count();
      endpoints.add(new EndpointNode(prefix + (existing + 1), dataCentre, kind, ports));
    }
  }

  private String[] platformCommand() {
    List<String> command = new ArrayList<>();
    command.add("platform");
    addFlag(command, "port", platformPort);
    command.addAll(settings.platformFlags());
    return command.toArray(String[]::new);
  }

  private void launch(EndpointNode endpoint) throws IOException {
    List<String> command = new ArrayList<>();
    boolean engine = endpoint.kind() == EndpointKind.ENGINE;
    command.add(engine ? "engine" : "service");
    addFlag(command, "port", endpoint.address().getPort());
    addFlag(command, "id", endpoint.id());
    if (engine) {
      addFlag(command, "weights", Addresses.text(Addresses.loopback(weightsPort)));
      addFlag(command, "slots", settings.slots());
      addFlag(command, "max-streams", settings.maxStreams());
      addFlag(command, "checks-fence", settings.checksFence());
      command.addAll(settings.engineFlags());
    }
    endpoint.process(launcher.start(endpoint.id(), List.of(), TESTBED, command));
  }

  private void launch(DaemonNode daemon) throws IOException {
    List<String> command = new ArrayList<>();
    command.add("entry");
    addFlag(command, "id", daemon.id());
    addFlag(command, "data-centre", daemon.dataCentre());
    addFlag(command, "host", daemon.host());
    addFlag(command, "listen-address", daemon.callerAddress().getAddress().getHostAddress());
    addFlag(command, "caller-port", daemon.callerAddress().getPort());
    addFlag(command, "operator-port", daemon.operatorAddress().getPort());
    addFlag(command, "peer-port", daemon.peerAddress().getPort());
    InetSocketAddress direct = Addresses.loopback(platformPort);
    addFlag(command, "platform", Addresses.text(proxies.platformFor(daemon, direct)));
    addFlag(command, "peers", peersOf(daemon));
    addFlag(command, "ledger-first-install", true);
    command.addAll(settings.daemonFlags());
    daemon.process(launcher.start(daemon.id(), settings.daemonJvmFlags(), DAEMON, command));
  }

  private String peersOf(DaemonNode daemon) {
    return daemons.stream()
        .filter(peer -> peer != daemon)
        .map(
            peer ->
                peer.id()
                    + "@"
                    + peer.dataCentre()
                    + "="
                    + Addresses.text(proxies.peerFor(daemon, peer)))
        .collect(Collectors.joining(","));
  }

  private static void addFlag(List<String> command, String name, Object value) {
    command.add("--" + name);
    command.add(String.valueOf(value));
  }

  /** Returns the daemons in the order of their names. */
  public List<DaemonNode> daemons() {
    return List.copyOf(daemons);
  }

  /**
   * Returns a daemon.
   *
   * @param id its name
   */
  public DaemonNode daemon(String id) {
    return daemons.stream().filter(node -> node.id().equals(id)).findFirst().orElseThrow();
  }

  /** Returns the engines and the endpoints of the plain service. */
  public List<EndpointNode> endpoints() {
    return List.copyOf(endpoints);
  }

  /**
   * Returns the endpoints of a kind.
   *
   * @param kind the kind
   */
  public List<EndpointNode> endpoints(EndpointKind kind) {
    return endpoints.stream().filter(endpoint -> endpoint.kind() == kind).toList();
  }

  /**
   * Returns an endpoint.
   *
   * @param id its name
   */
  public EndpointNode endpoint(String id) {
    return endpoints.stream().filter(node -> node.id().equals(id)).findFirst().orElseThrow();
  }

  /** Returns the fault proxies. */
  public ClusterProxies proxies() {
    return proxies;
  }

  /** Returns the address of the platform itself, bypassing any proxy. */
  public InetSocketAddress platformAddress() {
    return Addresses.loopback(platformPort);
  }

  /** Returns the address of the weight store. */
  public InetSocketAddress weightsAddress() {
    return Addresses.loopback(weightsPort);
  }

  /** Returns the platform's process. */
  public LaunchedProcess platform() {
    return platform;
  }

  /** Returns the weight store's process. */
  public LaunchedProcess weights() {
    return weights;
  }

  /** Returns the HTTP client for calls to the cluster. */
  public BlockingHttp http() {
    return http;
  }

  /** Returns a client that reads and writes the platform's objects. */
  public PlatformObjects objects() {
    return new PlatformObjects(http, platformAddress());
  }

  /**
   * Sets the faults of a stand-in.
   *
   * @param standIn address of the stand-in
   * @param json the faults, {@code {}} to clear
   * @throws IOException if the stand-in rejects them
   * @throws InterruptedException if the wait is interrupted
   */
  public void setFaults(InetSocketAddress standIn, String json)
      throws IOException, InterruptedException {
    HttpAnswer answer = http.send(HttpCall.to(standIn, "POST", "/faults").body(json));
    if (!answer.ok()) {
      throw new IOException("faults refused: " + answer.text());
    }
  }

  /**
   * Kills a daemon's process if it is running and starts a new one on the same ports.
   *
   * @param daemon the daemon
   * @throws IOException if it cannot be started
   * @throws InterruptedException if the wait is interrupted
   */
  public void restart(DaemonNode daemon) throws IOException, InterruptedException {
    daemon.process().close();
    launch(daemon);
    daemon.process().awaitReady(START_TIMEOUT_MS);
  }

  /**
   * Kills an endpoint's process if it is running and starts a new one on the same port.
   *
   * @param endpoint the endpoint
   * @throws IOException if it cannot be started
   * @throws InterruptedException if the wait is interrupted
   */
  public void restart(EndpointNode endpoint) throws IOException, InterruptedException {
    endpoint.process().close();
    launch(endpoint);
    endpoint.process().awaitReady(START_TIMEOUT_MS);
  }

  /**
   * Waits until every daemon reports that it is ready.
   *
   * @param limitMs maximum wait in milliseconds
   * @throws IOException if a daemon is not ready in time or its process has ended
   * @throws InterruptedException if the wait is interrupted
   */
  public void awaitReady(long limitMs) throws IOException, InterruptedException {
    long remainingPolls = limitMs / POLL_INTERVAL_MS;
    for (DaemonNode daemon : daemons) {
      while (!ready(daemon)) {
        remainingPolls--;
        if (remainingPolls < 0 || !daemon.process().alive()) {
          throw new IOException(daemon.id() + " not ready:\n" + daemon.process().logTail());
        }
        Thread.sleep(POLL_INTERVAL_MS);
      }
    }
  }

  /**
   * Waits until every daemon is ready and has answered a request for the first adapter, and one for
   * the plain service if there is one. A daemon is ready once it has a configuration, which can be
   * before it has connected to its peers and the endpoints.
   *
   * @param limitMs maximum wait in milliseconds
   * @throws IOException if a daemon does not answer successfully in time
   * @throws InterruptedException if the wait is interrupted
   */
  public void awaitServing(long limitMs) throws IOException, InterruptedException {
    awaitReady(limitMs);
    for (DaemonNode daemon : daemons) {
      if (settings.engines() > 0) {
        String body =
            "{\"model\":\"%s\",\"prompt\":\"probe\",\"max_tokens\":1}"
                .formatted(ClusterNames.adapter(0));
        awaitAnswer(
            HttpCall.to(daemon.callerAddress(), "POST", "/v1/completions").body(body), limitMs);
      }
      if (settings.services() > 0) {
        String path = "/services/" + ClusterNames.SLIPS + "/probe";
        awaitAnswer(HttpCall.to(daemon.callerAddress(), "POST", path), limitMs);
      }
    }
  }

  private void awaitAnswer(HttpCall call, long limitMs) throws IOException, InterruptedException {
    HttpAnswer answer = http.send(call);
    for (long remainingPolls = limitMs / POLL_INTERVAL_MS;
        !answer.ok() && remainingPolls > 0;
        remainingPolls--) {
      Thread.sleep(POLL_INTERVAL_MS);
      answer = http.send(call);
    }
    if (!answer.ok()) {
      throw new IOException(call + ": " + answer.status() + " " + answer.text());
    }
  }

  private boolean ready(DaemonNode daemon) throws InterruptedException {
    try {
      return http.send(HttpCall.to(daemon.operatorAddress(), "GET", "/ready")).ok();
    } catch (IOException notYet) {
      return false;
    }
  }

  @Override
  public void close() {
    launcher.close();
    proxies.close();
    http.close();
  }
}
