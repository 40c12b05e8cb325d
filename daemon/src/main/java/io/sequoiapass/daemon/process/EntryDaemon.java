package io.sequoiapass.daemon.process;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.FencingNumber;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.process.HostHint;
import io.sequoiapass.coordination.process.OrderKind;
import io.sequoiapass.coordination.request.AttemptSettings;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.LedgerMember;
import io.sequoiapass.coordination.request.LedgerSettings;
import io.sequoiapass.coordination.request.OutcomeClass;
import io.sequoiapass.coordination.request.RetryBudget;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.daemon.connection.HttpServer;
import io.sequoiapass.daemon.connection.SocketTransport;
import io.sequoiapass.daemon.connection.engine.EngineClient;
import io.sequoiapass.daemon.connection.peer.LocalLink;
import io.sequoiapass.daemon.connection.peer.PeerLinks;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.peer.PeerTransport;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import io.sequoiapass.daemon.process.entry.AffinityRoutes;
import io.sequoiapass.daemon.process.entry.CallerHandler;
import io.sequoiapass.daemon.process.entry.EntryShard;
import io.sequoiapass.daemon.process.entry.EntryShards;
import io.sequoiapass.daemon.process.entry.StartRecords;
import io.sequoiapass.daemon.process.ledger.LedgerNode;
import io.sequoiapass.daemon.process.log.EventLog;
import io.sequoiapass.daemon.process.log.LogEvent;
import io.sequoiapass.daemon.process.owner.OrderGate;
import io.sequoiapass.daemon.process.owner.Owner;
import io.sequoiapass.daemon.process.owner.OwnerShard;
import io.sequoiapass.daemon.process.owner.ServicePool;
import io.sequoiapass.daemon.process.ownership.DaemonIdentity;
import io.sequoiapass.daemon.process.ownership.OwnershipNode;
import io.sequoiapass.daemon.process.ownership.OwnershipTimes;
import io.sequoiapass.daemon.process.settings.EntrySettings;
import io.sequoiapass.daemon.process.timeline.Timeline;
import io.sequoiapass.daemon.request.CallerRequest;
import io.sequoiapass.daemon.request.CallerRequestParser;
import io.sequoiapass.daemon.request.RequestIds;
import io.sequoiapass.daemon.version.ConfigurationNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Entry daemon: assembles its parts, starts and stops them.
 *
 * <pre>{@code
 * EntryDaemon daemon = EntryDaemon.start(settings);
 * daemon.awaitStop();
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class EntryDaemon {

  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final long PLATFORM_TIMEOUT_MS = 1_000;
  private static final long REQUEST_INTERVAL_MS = 20;

  /** Bounds the delay that a change of owner adds to a takeover, at little processor time. */
  private static final long CONTROL_INTERVAL_MS = 50;

  /** Time for a load balancer that probes every second to take the daemon out of rotation. */
  private static final long STOP_GRACE_MS = 2_500;

  /** Longer than a ledger membership change takes to reach all members, with a margin. */
  private static final long LEDGER_SETTLE_MS = 10_000;

  private static final long LEDGER_RETRY_INTERVAL_MS = 500;

  /**
   * Shorter than an entry waits for its key's primary replica; a live entry answers in
   * milliseconds.
   */
  private static final long LEDGER_HOLDER_TIMEOUT_MS = 2_000;

  /** About 300 bytes each: at most 60 MB. */
  private static final int LEDGER_MAX_RECORDS = 200_000;

  private static final long SHUTDOWN_TIMEOUT_MS = 1_000;

  private static final double RETRY_BURST = 20;
  private static final double PERCENT = 100.0;

  private final EntrySettings settings;
  private final MillisClock clock = MillisClock.monotonic();
  private final MillisClock wall = MillisClock.wall();
  private final long incarnation = wall.millis();
  private final MetricRegistry metrics = new MetricRegistry();
  private final EventLoopGroup group;

  /** Separate event loop, so that operators' large answers do not delay callers. */
  private final EventLoopGroup operatorGroup = SocketTransport.best().group(1);

  private final Timeline timeline;
  private final DaemonEvents events;
  private final PlacementByPreset placement;
  private final AffinityRoutes routes;
  private final EntryShards entries;
  private final Owner owner;
  private final PeerNode peers;
  private final ConfigurationNode configuration;
  private final LocalLink local;
  private final OwnershipNode ownership;
  private final LedgerNode ledger;
  private final PlannedStop stop;
  private final ControlRounds rounds;
  private HttpServer callers;
  private HttpServer operators;
  private boolean closed;

  private EntryDaemon(EntrySettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.group = SocketTransport.best().group(settings.threads());
    this.timeline = Timeline.create(settings.daemon(), settings.timelineEvents(), wall);
    this.events = new DaemonEvents(settings.daemon(), metrics, timeline, clock, this::resetLink);
    HttpClient http = HttpClient.create(group, CONNECT_TIMEOUT_MS);
    PlatformClient platform = new PlatformClient(http, settings.platform(), PLATFORM_TIMEOUT_MS);
    this.local = new LocalLink(group);
    this.placement = new PlacementByPreset(settings.placementPolicy(), settings.placementWeights());
    this.routes = routes();
    this.entries = entries();
    this.owner = owner(http);
    metrics.gauge("admission.waiting", () -> owner::waiting);
    this.peers =
        new PeerNode(
            settings.daemon(),
            settings.dataCentre(),
            local.entrySide(),
            entries,
            owner,
            new ControlDispatcher());
    this.configuration =
        new ConfigurationNode(
            clock, wall, settings.daemon(), settings.dataCentre(), platform, peers, events);
    this.ownership =
        new OwnershipNode(
            new DaemonIdentity(
                settings.daemon(),
                settings.dataCentre(),
                incarnation,
                settings.listenAddress() + ":" + settings.peerPort()),
            OwnershipTimes.of(
                settings.leaseDurationMs(),
                settings.leaseMarginMs(),
                settings.heartbeatIntervalMs()),
            clock,
            platform,
            peers,
            events);
    this.ledger = ledger(platform);
    this.stop =
        new PlannedStop(
            new StopSequence(STOP_GRACE_MS, settings.drainLimitMs()),
            clock,
            entries,
            owner,
            ownership,
            ledger,
            timeline);
    this.rounds =
        new ControlRounds(
            clock,
            configuration,
            ownership,
            owner,
            peers,
            ledger,
            stop,
            preset -> placement.apply(preset, routes, owner));
  }

  /**
   * Starts a daemon.
   *
   * @param settings its settings
   * @throws IOException if a port cannot be bound
   */
  public static EntryDaemon start(EntrySettings settings) throws IOException {
    EntryDaemon daemon = new EntryDaemon(settings);
    daemon.open();
    return daemon;
  }

  private AffinityRoutes routes() {
    return new AffinityRoutes(
        clock,
        settings.placementWeights(),
        endpoint -> this.ownership.servingDaemon(endpoint),
        daemon -> this.peers.to(daemon));
  }

  private EntryShards entries() {
    List<EntryShard> shards = new ArrayList<>();
    for (int i = 0; i < settings.threads(); i++) {
      RetryBudget budget = new RetryBudget(settings.retryBudgetPercent() / PERCENT, RETRY_BURST);
      shards.add(
          new EntryShard(
              clock, routes, AttemptSettings.DEFAULT, budget, events, new DeferredStartRecords()));
    }
    return new EntryShards(shards);
  }

  private LedgerNode ledger(PlatformClient platform) {
    long retention = settings.ledgerRetentionMs();
    return new LedgerNode(
        new LedgerMember(settings.daemon(), incarnation),
        new LedgerSettings(
            retention,
            retention / 2,
            LEDGER_SETTLE_MS,
            LEDGER_RETRY_INTERVAL_MS,
            LEDGER_HOLDER_TIMEOUT_MS,
            LEDGER_RETRY_INTERVAL_MS,
            LEDGER_MAX_RECORDS),
        settings.ledgerFirstInstall(),
        clock,
        platform,
        ownership,
        peers::send,
        group);
  }

  private Owner owner(HttpClient http) {
    EngineClient engines = new EngineClient(http);
    return new Owner(
        () ->
            new OwnerShard(
                clock,
                placement.placement(),
                engines,
                new OwnershipGate(),
                events,
                settings.admission()),
        new ServicePool(clock, http, events, settings.admission()));
  }

  private void open() throws IOException {
    EventLog.log(LogEvent.STARTED, settings.daemon(), settings.dataCentre(), settings.host());
    PeerTransport transport = PeerTransport.create(group, metrics);
    local.open(owner, new LocalEntry(entries));
    int peerPort = transport.listen(address(settings.peerPort()), peers::accepted);
    PeerMessage.Hello hello =
        new PeerMessage.Hello(
            settings.daemon(), settings.dataCentre(), settings.host(), incarnation);
    peers.start(new PeerLinks(transport, group, hello, peers), settings.peers());
    operators =
        HttpServer.builder(
                operatorGroup,
                new OperatorHandler(
                    new DaemonView(
                        settings.daemon(),
                        settings.dataCentre(),
                        incarnation,
                        metrics,
                        timeline,
                        configuration,
                        ownership,
                        entries,
                        owner,
                        rounds,
                        stop)))
            .start(address(settings.operatorPort()));
    callers =
        HttpServer.builder(group, callerHandler())
            .maxBodyBytes(settings.maxBodyBytes())
            .start(address(settings.callerPort()));
    schedule(REQUEST_INTERVAL_MS, "request round", this::requestRound);
    schedule(CONTROL_INTERVAL_MS, "control round", rounds::control);
    schedule(settings.heartbeatIntervalMs(), "heartbeat", rounds::heartbeat);
    System.out.println(
        "ready caller=" + callers.port() + " operator=" + operators.port() + " peer=" + peerPort);
    EventLog.log(LogEvent.READY, settings.daemon(), callers.port());
  }

  private CallerHandler callerHandler() {
    CallerRequestParser parser =
        new CallerRequestParser(
            new RequestIds(settings.daemon(), incarnation), clock, settings.requestDeadlineMs());
    return new CallerHandler(
        parser,
        configuration::snapshot,
        this::refusal,
        priority -> configuration.preset().admits(priority),
        entries);
  }

  private void resetLink(DaemonId peer) {
    peers.reset(peer);
  }

  private Optional<ErrorKind> refusal() {
    if (!stop.phase().isAccepting()) {
      return Optional.of(ErrorKind.DRAINING);
    }
    return configuration.ready() ? Optional.empty() : Optional.of(ErrorKind.NO_CONFIGURATION);
  }

  private InetSocketAddress address(int port) {
    return new InetSocketAddress(settings.listenAddress(), port);
  }

  private void schedule(long periodMs, String name, Runnable round) {
    group
        .next()
        .scheduleAtFixedRate(() -> guarded(name, round), periodMs, periodMs, TimeUnit.MILLISECONDS);
  }

  private static void guarded(String name, Runnable round) {
    try {
      round.run();
    } catch (RuntimeException e) {
      // An exception would cancel the timer, and deadlines would then never be enforced.
      EventLog.log(LogEvent.INTERNAL_ERROR, name, e);
    }
  }

  private void requestRound() {
    entries.tick();
    owner.tick();
  }

  /** Returns the port for callers. */
  int callerPort() {
    return callers.port();
  }

  /** Begins a planned stop: requests in flight finish and owned endpoints are handed over. */
  public void drain() {
    stop.begin();
  }

  /**
   * Blocks until a planned stop has ended.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void awaitStop() throws InterruptedException {
    stop.await();
    shutdown();
  }

  /**
   * Runs once, and later callers wait for it: on a signal the main thread and the shutdown hook
   * both get here, and a channel group that is closed while its event loops end never completes.
   */
  private synchronized void shutdown() throws InterruptedException {
    if (closed) {
      return;
    }
    closed = true;
    stop.releaseLease(SHUTDOWN_TIMEOUT_MS);
    peers.stop();
    callers.close();
    operators.close();
    operatorGroup.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Delegates to the ownership node, which is created after the owner. */
  private final class OwnershipGate implements OrderGate {

    @Override
    public Optional<FencingNumber> permit(EndpointId endpoint, OrderKind kind) {
      return ownership.permit(endpoint, kind);
    }

    @Override
    public boolean mayOthersServe() {
      return ownership.mayOthersServe();
    }
  }

  /** Dispatches control messages of peers. */
  private final class ControlDispatcher implements PeerNode.ControlListener {

    @Override
    public void connected(DaemonId peer) {
      EventLog.log(LogEvent.PEER_CONNECTED, peer);
    }

    @Override
    public void disconnected(DaemonId peer) {
      EventLog.log(LogEvent.PEER_LOST, peer, "connection closed");
    }

    @Override
    public HostHint hint(HostId host) {
      return configuration.hints().of(host);
    }

    @Override
    public void received(DaemonId peer, PeerMessage message) {
      if (message instanceof PeerMessage.Heartbeat beat && peers.isNeighbour(peer)) {
        configuration.digestReceived(peer, beat.configuration(), beat.cutOff());
      }
      if (message instanceof PeerMessage.ObjectsPush push) {
        configuration.objectsPushed(peer, push);
      } else if (message instanceof PeerMessage.ObjectsRequest request) {
        configuration.objectsRequested(peer, request);
      } else if (message instanceof PeerMessage.HostsPush push && peers.isNeighbour(peer)) {
        configuration.hostsPushed(push);
      } else if (message instanceof PeerMessage.Ledger about) {
        ledger.received(peer, about.message());
      } else {
        ownership.received(peer, message);
      }
    }
  }

  /** Delegates to the ledger, which is created after the entries. */
  private final class DeferredStartRecords implements StartRecords {

    @Override
    public void record(CallerRequest request, Consumer<Optional<ErrorKind>> answer) {
      ledger.record(request, answer);
    }

    @Override
    public void finished(CallerRequest request, OutcomeClass outcome) {
      ledger.finished(request, outcome);
    }
  }
}
