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
 * Runs daemons and stand-ins as processes of their own, with a configuration on the platform.
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
  private static final long START_LIMIT_MS = 30_000;
  private static final long LOOK_MS = 50;

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
    this.platformPort = ports.take();
    this.weightsPort = ports.take();
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
    place();
    platform = launcher.start("platform", TESTBED, platformCommand());
    weights =
        launcher.start("weights", TESTBED, "weights", "--port", Integer.toString(weightsPort));
    for (EndpointNode endpoint : endpoints) {
      launch(endpoint);
    }
    platform.awaitReady(START_LIMIT_MS);
    new ClusterConfiguration(settings, daemons, endpoints, proxies).write(objects());
    for (DaemonNode daemon : daemons) {
      launch(daemon);
    }
    weights.awaitReady(START_LIMIT_MS);
    for (EndpointNode endpoint : endpoints) {
      endpoint.process().awaitReady(START_LIMIT_MS);
    }
    for (DaemonNode daemon : daemons) {
      daemon.process().awaitReady(START_LIMIT_MS);
    }
  }

  private void place() throws IOException {
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
      long before = endpoints.stream().filter(endpoint -> endpoint.kind() == kind).count();
      endpoints.add(new EndpointNode(prefix + (before + 1), dataCentre, kind, ports));
    }
  }

  private String[] platformCommand() {
    List<String> command = new ArrayList<>();
    command.add("platform");
    flag(command, "port", platformPort);
    command.addAll(settings.platformFlags());
    return command.toArray(String[]::new);
  }

  private void launch(EndpointNode endpoint) throws IOException {
    List<String> command = new ArrayList<>();
    boolean engine = endpoint.kind() == EndpointKind.ENGINE;
    command.add(engine ? "engine" : "service");
    flag(command, "port", endpoint.address().getPort());
    flag(command, "id", endpoint.id());
    if (engine) {
      flag(command, "weights", Addresses.text(Addresses.loopback(weightsPort)));
      flag(command, "slots", settings.slots());
      flag(command, "max-streams", settings.maxStreams());
      flag(command, "checks-fence", settings.checksFence());
      command.addAll(settings.engineFlags());
    }
    endpoint.process(launcher.start(endpoint.id(), List.of(), TESTBED, command));
  }

  private void launch(DaemonNode daemon) throws IOException {
    List<String> command = new ArrayList<>();
    command.add("entry");
    flag(command, "id", daemon.id());
    flag(command, "data-centre", daemon.dataCentre());
    flag(command, "host", daemon.host());
    flag(command, "listen-address", daemon.callers().getAddress().getHostAddress());
    flag(command, "caller-port", daemon.callers().getPort());
    flag(command, "operator-port", daemon.operators().getPort());
    flag(command, "peer-port", daemon.peers().getPort());
    InetSocketAddress direct = Addresses.loopback(platformPort);
    flag(command, "platform", Addresses.text(proxies.platformFor(daemon, direct)));
    flag(command, "peers", peersOf(daemon));
    flag(command, "ledger-first-install", true);
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

  private static void flag(List<String> command, String name, Object value) {
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

  /** Returns engines and endpoints of the plain service. */
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

  /** Returns where the platform listens, past any proxy. */
  public InetSocketAddress platformAddress() {
    return Addresses.loopback(platformPort);
  }

  /** Returns where the weight store listens. */
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

  /** Returns what sends calls to the cluster. */
  public BlockingHttp http() {
    return http;
  }

  /** Returns what reads and writes the platform's objects. */
  public PlatformObjects objects() {
    return new PlatformObjects(http, platformAddress());
  }

  /**
   * Sets the faults of a stand-in.
   *
   * @param standIn where it listens
   * @param json the faults, {@code {}} to clear
   * @throws IOException if it does not take them
   * @throws InterruptedException if the wait is interrupted
   */
  public void faults(InetSocketAddress standIn, String json)
      throws IOException, InterruptedException {
    HttpAnswer answer = http.send(HttpCall.to(standIn, "POST", "/faults").body(json));
    if (!answer.ok()) {
      throw new IOException("faults refused: " + answer.text());
    }
  }

  /**
   * Ends a daemon's process, if it still runs, and starts the next one in its place.
   *
   * @param daemon the daemon
   * @throws IOException if it cannot be started
   * @throws InterruptedException if the wait is interrupted
   */
  public void restart(DaemonNode daemon) throws IOException, InterruptedException {
    daemon.process().close();
    launch(daemon);
    daemon.process().awaitReady(START_LIMIT_MS);
  }

  /**
   * Ends an endpoint's process, if it still runs, and starts the next one in its place.
   *
   * @param endpoint the endpoint
   * @throws IOException if it cannot be started
   * @throws InterruptedException if the wait is interrupted
   */
  public void restart(EndpointNode endpoint) throws IOException, InterruptedException {
    endpoint.process().close();
    launch(endpoint);
    endpoint.process().awaitReady(START_LIMIT_MS);
  }

  /**
   * Waits until every daemon says that it is ready to serve.
   *
   * @param limitMs how long to wait at most, in milliseconds
   * @throws IOException if one is not ready in time
   * @throws InterruptedException if the wait is interrupted
   */
  public void awaitReady(long limitMs) throws IOException, InterruptedException {
    long looks = limitMs / LOOK_MS;
    for (DaemonNode daemon : daemons) {
      while (!ready(daemon)) {
        looks--;
        if (looks < 0 || !daemon.process().alive()) {
          throw new IOException(daemon.id() + " not ready:\n" + daemon.process().lastErrors());
        }
        Thread.sleep(LOOK_MS);
      }
    }
  }

  /**
   * Waits until every daemon is ready and has answered a request for the first adapter, and one for
   * the plain service where there is one. A daemon is ready once it has a configuration; it may
   * take a moment more to reach its peers and the endpoints.
   *
   * @param limitMs how long to wait at most, in milliseconds
   * @throws IOException if one does not answer in time
   * @throws InterruptedException if the wait is interrupted
   */
  public void awaitServing(long limitMs) throws IOException, InterruptedException {
    awaitReady(limitMs);
    for (DaemonNode daemon : daemons) {
      if (settings.engines() > 0) {
        String body =
            "{\"model\":\"%s\",\"prompt\":\"probe\",\"max_tokens\":1}"
                .formatted(ClusterNames.adapter(0));
        awaitAnswer(HttpCall.to(daemon.callers(), "POST", "/v1/completions").body(body), limitMs);
      }
      if (settings.services() > 0) {
        String path = "/services/" + ClusterNames.SLIPS + "/probe";
        awaitAnswer(HttpCall.to(daemon.callers(), "POST", path), limitMs);
      }
    }
  }

  private void awaitAnswer(HttpCall call, long limitMs) throws IOException, InterruptedException {
    HttpAnswer answer = http.send(call);
    for (long looks = limitMs / LOOK_MS; !answer.ok() && looks > 0; looks--) {
      Thread.sleep(LOOK_MS);
      answer = http.send(call);
    }
    if (!answer.ok()) {
      throw new IOException(call + ": " + answer.status() + " " + answer.text());
    }
  }

  private boolean ready(DaemonNode daemon) throws InterruptedException {
    try {
      return http.send(HttpCall.to(daemon.operators(), "GET", "/ready")).ok();
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
