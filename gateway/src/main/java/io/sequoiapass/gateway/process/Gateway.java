package io.sequoiapass.gateway.process;

import io.netty.channel.EventLoopGroup;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.WorkspaceId;
import io.sequoiapass.coordination.process.ClockReading;
import io.sequoiapass.coordination.process.ConfigurationCurrency;
import io.sequoiapass.coordination.process.UsageAllocator;
import io.sequoiapass.coordination.process.UsageThrottle;
import io.sequoiapass.coordination.version.UsageLimit;
import io.sequoiapass.coordination.version.Workspace;
import io.sequoiapass.daemon.connection.ConnectionLimits;
import io.sequoiapass.daemon.connection.FrameTransport;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.daemon.connection.HttpServer;
import io.sequoiapass.daemon.connection.RequestMemory;
import io.sequoiapass.daemon.connection.SocketTransport;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.request.PeerForwarder;
import io.sequoiapass.gateway.request.PendingRequests;
import io.sequoiapass.gateway.request.RelayContext;
import io.sequoiapass.gateway.spi.Deployment;
import io.sequoiapass.gateway.spi.HostSettings;
import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.Stored;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.AdapterRelease;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.ServingConfiguration;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * The entry daemon in front of endpoints that check adapter versions and the sequence of orders
 * themselves: accepts requests from callers, sends each directly to an endpoint, and takes part in
 * coordinating what the engines hold.
 *
 * <pre>{@code
 * Gateway gateway = Gateway.start(deployment, settings, metricsPort, log);
 * gateway.drain();   // returns when the process may end
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class Gateway implements AutoCloseable {

  /**
   * Connections inside a deployment open within a millisecond; an unresponsive host never accepts
   * one.
   */
  private static final int CONNECT_TIMEOUT_MS = 350;

  /**
   * Share of the time allowed for a new adapter version during which requests may still start on
   * the old one.
   */
  private static final double OLD_VERSION_SHARE = 0.5;

  private static final long CLOSE_TIMEOUT_MS = 500;

  /** Limits until the first configuration is read. */
  private static final ConnectionLimits FIRST_LIMITS =
      new ConnectionLimits(16 << 10, 4 << 20, 3_000, 15_000);

  private final HostSettings settings;
  private final DecisionLog log;
  private final MillisClock clock = MillisClock.monotonic();
  private final MillisClock wall = MillisClock.wall();
  private final ConfigurationCurrency currency = new ConfigurationCurrency();
  private final UsageThrottle throttle =
      new UsageThrottle(() -> ThreadLocalRandom.current().nextDouble());
  private final EventLoopGroup loops;
  private final AtomicReference<ServingConfiguration> configuration = new AtomicReference<>();
  private final AdapterVersions versions;
  private final EndpointDirectory directory;
  private final PendingRequests waiting = new PendingRequests();
  private final PlannedStop stop = new PlannedStop();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final TaskGuard guard;
  private final PeerDirectory peers = new PeerDirectory(clock);
  private final StreamVersions streams = new StreamVersions(clock);
  private final MemberDirectory members;
  private final PromptPartGuard parts;
  private final SurgeGuard surge;
  private final PromptGate prompts;
  private final LoadWithdrawals withdrawals = new LoadWithdrawals();
  private final CallerAdmission admission;
  private final RetryBudgets retries;
  private final List<LinkModule> linkModules;
  private final StoreFreshness storeFreshness = new StoreFreshness();
  private final SoftwareHistory software = new SoftwareHistory();
  private StoreFeeds feeds;
  private SoftwareRecorder recorder;
  private VerdictRecorder verdicts;
  private CoordinationNode node;
  private PathMonitor path;
  private Coordinator coordinator;
  private CallerHandler callers;
  private WorkspaceGate gate;
  private HttpServer callerServer;
  private HttpServer peerServer;
  private volatile HostSettings.Bounds bounds;
  private volatile boolean draining;

  private Gateway(HostSettings settings, GatewayOptions options, DecisionLog log) {
    this.settings = settings;
    this.log = log;
    this.bounds = settings.bounds();
    this.loops = SocketTransport.best().group(settings.cores());
    this.versions = new AdapterVersions(() -> (long) (bounds.versionMs() * OLD_VERSION_SHARE));
    this.surge = new SurgeGuard(loops, clock, log, metrics);
    this.parts = new PromptPartGuard(clock, log, metrics);
    this.prompts = new PromptGate(metrics);
    this.members = new MemberDirectory(settings.daemon(), settings.dataCentre());
    this.guard = TaskGuard.counting(log, metrics, clock);
    this.directory = new EndpointDirectory(settings.dataCentre(), versions, clock, log);
    directory.useGuard(guard);
    this.admission = new CallerAdmission(directory, clock, metrics);
    this.retries = new RetryBudgets(settings, configuration::get, clock, wall, metrics);
    this.linkModules = new ArrayList<>(List.of(prompts, withdrawals, retries));
    linkModules.addAll(
        LinkModules.create(settings.dataCentre(), directory, options, clock, metrics));
    linkModules.addAll(admission.modules());
  }

  /**
   * Starts the daemon.
   *
   * @param deployment the names, formats and calls of the platform
   * @param settings this host's settings
   * @param options what is switched on
   * @param log the log
   * @throws IOException if an address cannot be bound
   */
  public static Gateway start(
      Deployment deployment, HostSettings settings, GatewayOptions options, DecisionLog log)
      throws IOException {
    Gateway gateway = new Gateway(settings, options, log);
    gateway.start(deployment, options.metricsPort());
    return gateway;
  }

  private void start(Deployment deployment, OptionalInt metricsPort) throws IOException {
    HttpClient http = HttpClient.create(loops, CONNECT_TIMEOUT_MS);
    ConnectionCounters counters = new ConnectionCounters(metrics, clock);
    MetadataStore store = deployment.store(http, settings);
    HttpClient endpointHttp =
        toEndpoints(
            counters.requests(
                HttpClient.create(
                    loops, CONNECT_TIMEOUT_MS, deployment.endpointProtocol().echoedHeader())));
    HttpClient shared = http.within(endpointHttp.memory());
    directory.useVerifier(
        new ProcessVerifier(toEndpoints(shared), store, directory, loops, metrics));
    directory.useConnections(new ConnectionSource(settings.daemon(), endpointHttp::canReuse));
    path =
        new PathMonitor(
            directory, deployment.endpointProtocol(), endpointHttp, loops, clock, log, metrics);
    path.onChange(this::pathChanged);
    startCoordination(deployment, endpointCalls(shared, counters), store);
    withdrawals.use(node::send, loops);
    RelayContext context =
        new RelayContext(
            endpointHttp,
            deployment.callerProtocol(),
            deployment.endpointProtocol(),
            new AdapterLoads(node, directory, versions, withdrawals),
            new PeerForwarder(settings.daemon(), path, peers, shared, deployment.callerProtocol()),
            streams,
            new CrashWatch(parts, deployment.endpointProtocol(), endpointHttp, loops, clock),
            new EndpointInquiries(deployment.endpointProtocol(), endpointHttp, clock, metrics),
            prompts,
            waiting,
            stop,
            loops,
            clock,
            log,
            metrics);
    gate = workspaceGate();
    StreamVersionLinks streamLinks =
        new StreamVersionLinks(streams, members, shared, loops, clock, guard);
    callers =
        new CallerHandler(
            context,
            configuration::get,
            directory,
            retries,
            gate,
            admission,
            new StreamResumption(streamLinks, soleVersion(store)),
            guard);
    startRecorder(store);
    startFeeds(store);
    startServers(context, streamLinks);
    streamLinks.start();
    StatusServers.start(loops, settings, this::isReady, metricsPort, metrics);
    loops.scheduleWithFixedDelay(this::tick, 0, BroadcastInterval.ROUND_MS, TimeUnit.MILLISECONDS);
  }

  private WorkspaceGate workspaceGate() {
    return new WorkspaceGate(
        currency,
        throttle,
        configuration::get,
        this::clocks,
        settings.bounds().revocationMs(),
        () -> bounds.configurationMs());
  }

  /**
   * Applies those settings that take effect without a restart, {@link HostSetting#isApplied}.
   *
   * @param next the settings
   */
  void apply(HostSettings next) {
    bounds = next.bounds();
  }

  private EndpointCalls endpointCalls(HttpClient client, ConnectionCounters counters) {
    return new EndpointCalls(
        toEndpoints(client).observedBy(counters.orders()),
        toEndpoints(client).observedBy(counters.orders()),
        counters::copiesResponses,
        path);
  }

  private SoleVersion soleVersion(MetadataStore store) {
    return new SoleVersion(software, store, this::streamRetentionMs, clock, metrics);
  }

  private void startRecorder(MetadataStore store) {
    recorder =
        new SoftwareRecorder(
            store, software, this::resumableServices, this::streamRetentionMs, loops, clock, log);
    verdicts = new VerdictRecorder(store, parts, loops, clock, log);
  }

  private void startServers(RelayContext context, StreamVersionLinks streamLinks)
      throws IOException {
    callerServer =
        HttpServer.builder(loops, callers)
            .limits(this::limits)
            .memory(RequestMemory.ofHeap())
            .acceptIf(surge::accepts)
            .observer(new ServerLog("callers", log, guard, metrics))
            .start(settings.callers());
    peerServer =
        HttpServer.builder(
                loops, streamLinks.handler(new PeerHandler(context, callers, gate, () -> draining)))
            .limits(() -> PeerHandler.limits(limits()))
            .observer(new ServerLog("peers", log, guard, metrics))
            .start(settings.peers());
    new StreamRecords(
            streams,
            streamLinks::recordKeepers,
            this::hasSeveralVersions,
            new StreamVersionKeys(directory::softwareVersions, clock),
            guard,
            metrics)
        .start(loops, settings.peers());
  }

  private HttpClient toEndpoints(HttpClient client) {
    return settings.endpointSource().map(client::from).orElse(client);
  }

  private long streamRetentionMs() {
    ServingConfiguration known = configuration.get();
    return known == null ? Long.MAX_VALUE : StreamResumption.retentionMs(known);
  }

  private boolean hasSeveralVersions(ServiceId service) {
    return software.recent(service, streamRetentionMs(), clock.millis()).size() > 1;
  }

  private Set<ServiceId> resumableServices() {
    ServingConfiguration known = configuration.get();
    return known == null ? Set.of() : StreamResumption.services(known);
  }

  private ClockReading clocks() {
    return ClockReading.now(clock, wall);
  }

  private UsageLimit usageLimit(WorkspaceId workspace) {
    ServingConfiguration known = configuration.get();
    return known == null
        ? UsageLimit.NONE
        : known.workspaces().find(workspace).map(Workspace::limit).orElse(UsageLimit.NONE);
  }

  private ConnectionLimits limits() {
    ServingConfiguration known = configuration.get();
    return known == null ? FIRST_LIMITS : known.limits();
  }

  /** Failures while the path was lost say nothing about the endpoints. */
  private void pathChanged() {
    if (!path.isLost()) {
      directory.groups().forEach(EndpointGroup::resetHealth);
    }
    waiting.pathChanged();
  }

  private boolean servesPeers() {
    return !draining && !path.isLost();
  }

  private void startCoordination(Deployment deployment, EndpointCalls calls, MetadataStore store)
      throws IOException {
    FrameTransport transport = FrameTransport.create(loops);
    String process = settings.daemon() + "-" + wall.millis() + "-" + System.nanoTime();
    CoordinatorElection election =
        new CoordinatorElection(
            settings.daemon(),
            process,
            settings.links(),
            ThreadLocalRandom.current().nextLong(CoordinatorElection.SPREAD_MS),
            settings.linkBytesPerS());
    node =
        new CoordinationNode(
            settings.dataCentre(),
            directory,
            election,
            store,
            loops,
            clock,
            new FreezeDetector(clock, wall),
            log,
            guard);
    ModelLoadLimiter modelLoads =
        new ModelLoadLimiter(() -> bounds.loadWindowMs(), settings.regions().size());
    RegionRelay relay = new RegionRelay(settings.otherRegions(), store, transport, loops, clock);
    coordinator =
        new Coordinator(
            CoordinatorSettings.of(settings),
            directory,
            new PlacementPlan(versions, modelLoads, new LoadTime(directory)),
            new Coordinator.Io(
                deployment.endpointProtocol(),
                calls,
                loops,
                clock,
                log,
                versions,
                new PartVerdictUpdates(relay::forward),
                metrics),
            this::newAllocator,
            now -> node.mayOrder(now, bounds.fenced()),
            now -> node.mayOrder(now, false),
            node::fenced);
    node.use(coordinator, links(transport));
    directory.onChange(
        () -> {
          coordinator.observe();
          node.connectPostponed();
        });
    feeds = storeFeeds();
    prompts.use(node::send, loops);
    parts.reportTo(node::sendToAll, node::hasCoordinator);
    node.onFirstRead(feeds::check);
    directory.onIdle(node::idle);
    directory.usePermits(node.permits(Set.copyOf(settings.regions().values()).size()));
    directory.setWatcher(coordinator.watcher());
    coordinator.use(new OwnView(feeds, node));
    path.useUnsentBytes(coordinator::unsentBytes);
    transport.listen(settings.links(), coordinator::listener);
  }

  private UsageAllocator newAllocator() {
    return new UsageAllocator(
        settings.regions().size(),
        settings.bounds().usageWindowMs(),
        this::usageLimit,
        clock.millis());
  }

  private StoreFeeds storeFeeds() {
    return new StoreFeeds(
        topic ->
            new CoordinatorRelay(
                topic, settings.dataCentre(), node, () -> gate.isConfirmed(), storeFreshness),
        node::isCoordinator,
        loops,
        clock,
        log,
        guard);
  }

  /** Returns one link for each data centre of this region. */
  private List<CoordinatorLink> links(FrameTransport transport) {
    String region = settings.regions().get(settings.dataCentre());
    CoordinatorLink.Io io =
        new CoordinatorLink.Io(
            transport,
            loops,
            clock,
            wall,
            throttle,
            log,
            node::isCoordinator,
            this::servesPeers,
            settings.peers(),
            settings.bounds().revocationMs().isPresent()
                ? CoordinatorLink.STRICT_IDLE_REPORT_MS
                : CoordinatorLink.IDLE_REPORT_MS);
    LinkEvents events = linkEvents();
    List<CoordinatorLink> links = new ArrayList<>();
    settings
        .regions()
        .forEach(
            (dataCentre, itsRegion) -> {
              if (itsRegion.equals(region)) {
                Consumer<LinkMessage.CoordinatorStatus> onStatus =
                    status -> {
                      node.updateStatus(dataCentre, status);
                      storeFreshness.update(dataCentre, status, clock.millis());
                      throttle.update(
                          dataCentre,
                          status.workspaces(),
                          status.usageCounted(),
                          status.daemons(),
                          clock.millis());
                    };
                Runnable lost =
                    () -> {
                      storeFreshness.lost(dataCentre);
                      throttle.lost(dataCentre);
                      waiting.coordinatorLost(dataCentre);
                    };
                links.add(
                    new CoordinatorLink(
                        settings.daemon(),
                        settings.dataCentre(),
                        dataCentre,
                        directory,
                        io,
                        events,
                        onStatus,
                        lost));
              }
            });
    return links;
  }

  private LinkEvents linkEvents() {
    return new LinkEvents(
        waiting,
        peers,
        members,
        parts,
        currency,
        metrics,
        linkModules,
        clock,
        release -> released(release.adapter(), release.version(), "coordinator"));
  }

  private void startFeeds(MetadataStore store) {
    feeds.startConfigurations(
        store,
        settings.bounds().revocationMs().isPresent(),
        this::configurationAsked,
        this::applyConfiguration);
    feeds.startEndpoints(store, directory);
    feeds.startReleases(store, this::applyRelease);
  }

  /** Proves the configuration to this daemon and, while it coordinates, to the linked ones. */
  private LongConsumer configurationAsked() {
    ClockReading asked = clocks();
    LongConsumer linked = coordinator.configurationAsked();
    return revision -> {
      currency.proved(asked, revision);
      linked.accept(revision);
    };
  }

  private void tick() {
    guard.run("tick", () -> node.withdrawIfLost(path.lostMs()));
    guard.run("tick", node::tick);
    guard.run("coordinator", coordinator::tick);
    guard.run("path", path::check);
    guard.run("subsets", () -> directory.reportSubsets(metrics));
    feeds.check();
    guard.run("software", this::recordSoftware);
    guard.run("verdicts", () -> verdicts.tick(node.isCoordinator()));
  }

  private void recordSoftware() {
    boolean isCurrent = directory.isListed() && feeds.isCurrent(StoreFreshness.Topic.ENDPOINTS);
    software.observe(directory.softwareVersions(), isCurrent, clock.millis());
    recorder.tick(node.isCoordinator());
  }

  private boolean isReady() {
    boolean canServe = !path.isLost() || peers.isAvailable(Set.of());
    return canServe
        && !surge.isRefusing()
        && !draining
        && configuration.get() != null
        && directory.isListed();
  }

  /**
   * Stops after the requests in flight have ended or the grace period is over; returns when the
   * process may exit.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void drain() throws InterruptedException {
    draining = true;
    log.event("stopping").with("requests", callers.inFlight()).write();
    ServerDrain drain =
        new ServerDrain(callerServer, peerServer, callers::inFlight, stop, clock, bounds.graceMs());
    node.releaseLease();
    drain.awaitRequests();
    log.event("stopped").with("requests_cut", callers.inFlight()).write();
    drain.awaitLastAnswers();
    log.flush();
  }

  /** Ends the daemon at once: connections are closed, requests in flight are cut off. */
  @Override
  public void close() {
    loops.shutdownGracefully(0, CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Applies a configuration unless a newer one is in use: responses of the store may arrive out of
   * order.
   */
  private void applyConfiguration(Stored<ServingConfiguration> item) {
    if (item.value().isEmpty()) {
      log.event("configuration_unreadable")
          .with("revision", item.revision())
          .with("problem", item.problem())
          .write();
      return;
    }
    ServingConfiguration next = item.value().get();
    ServingConfiguration before = configuration.get();
    if (before != null && before.version() >= next.version()) {
      if (before.version() == next.version()) {
        currency.applied(item.revision());
      }
      return;
    }
    long startedAt = clock.millis();
    directory.configure(next);
    configuration.set(next);
    currency.applied(item.revision());
    coordinator.observe();
    log.event("configuration")
        .with("version", next.version())
        .with("revision", item.revision())
        .with("apply_ms", clock.millis() - startedAt)
        .write();
  }

  private void applyRelease(Stored<AdapterRelease> item) {
    if (item.value().isEmpty()) {
      log.event("release_unreadable")
          .with("name", item.name())
          .with("problem", item.problem())
          .write();
      return;
    }
    AdapterRelease release = item.value().get();
    release.adapter().ifPresent(adapter -> released(adapter, release.version(), "store"));
  }

  private void released(AdapterName adapter, long version, String source) {
    if (!versions.announce(adapter, version, clock.millis())) {
      return;
    }
    log.event("release")
        .with("adapter", adapter)
        .with("version", version)
        .with("source", source)
        .write();
    directory.groups().forEach(group -> group.removeFromCaches(adapter));
    coordinator.released(adapter, version);
  }
}
