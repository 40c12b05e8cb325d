package io.sequoiapass.daemon.process;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.daemon.connection.HttpServer;
import io.sequoiapass.daemon.connection.engine.EngineClient;
import io.sequoiapass.daemon.connection.peer.LocalLink;
import io.sequoiapass.daemon.connection.peer.PeerLinks;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.peer.PeerTransport;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import io.sequoiapass.daemon.process.entry.AffinityRoutes;
import io.sequoiapass.daemon.process.entry.CallerHandler;
import io.sequoiapass.daemon.process.entry.Entries;
import io.sequoiapass.daemon.process.entry.EntryShard;
import io.sequoiapass.daemon.process.entry.Routes;
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
import io.sequoiapass.daemon.process.placement.AdaptivePlacement;
import io.sequoiapass.daemon.process.placement.PlacementSettings;
import io.sequoiapass.daemon.process.settings.EntrySettings;
import io.sequoiapass.daemon.process.timeline.Timeline;
import io.sequoiapass.daemon.process.timeline.TimelineEvent;
import io.sequoiapass.daemon.process.timeline.TimelineKind;
import io.sequoiapass.daemon.process.timeline.TimelineQuery;
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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * Is one entry daemon: assembles its parts, starts them and stops them.
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
  private static final long REQUEST_ROUND_MS = 20;

  /** Bounds what a change of owner adds to a takeover, and costs little of a core. */
  private static final long CONTROL_ROUND_MS = 50;

  /** Heartbeats to other data centres are this much rarer: they only show changed tables. */
  private static final int REMOTE_HEARTBEATS = 4;

  /** What a balancer that looks every second needs to see that this daemon leaves. */
  private static final long STOP_GRACE_MS = 2_500;

  /** Longer than a change of the ledger's membership takes to reach all, with a margin. */
  private static final long LEDGER_SETTLE_MS = 10_000;

  private static final long LEDGER_ASK_AGAIN_MS = 500;

  /** Some 300 bytes each: 60 MB at most. */
  private static final int LEDGER_MAX_RECORDS = 200_000;

  private static final long SHUTDOWN_MS = 1_000;

  /** A daemon whose peers are dead, or that starts alone in an outage, serves what it can. */
  private static final long REACH_WAIT_MS = 5_000;

  private static final double RETRY_BURST = 20;
  private static final double PERCENT = 100.0;

  private final EntrySettings settings;
  private final MillisClock clock = MillisClock.monotonic();
  private final MillisClock wall = MillisClock.wall();
  private final long incarnation = wall.millis();
  private final MetricRegistry metrics = new MetricRegistry();
  private final EventLoopGroup group;

  /** Operators' large answers must not hold up callers, so they have a loop of their own. */
  private final EventLoopGroup operatorGroup =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  private final Timeline timeline;
  private final DaemonEvents events;
  private final Entries entries;
  private final Owner owner;
  private final PeerNode peers;
  private final ConfigurationNode configuration;
  private final LocalLink local;
  private final OwnershipNode ownership;
  private final LedgerNode ledger;
  private final StopSequence stop;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final long startedAt = clock.millis();
  private volatile boolean reachesOwners;
  private int heartbeats;
  private HttpServer callers;
  private HttpServer operators;

  private EntryDaemon(EntrySettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.group = new MultiThreadIoEventLoopGroup(settings.threads(), NioIoHandler.newFactory());
    this.timeline = Timeline.create(settings.daemon(), settings.timelineEvents(), wall);
    this.events = new DaemonEvents(settings.daemon(), metrics, timeline, clock, this::resetLink);
    HttpClient http = HttpClient.create(group, CONNECT_TIMEOUT_MS);
    PlatformClient platform = new PlatformClient(http, settings.platform(), PLATFORM_TIMEOUT_MS);
    this.local = new LocalLink(group);
    this.entries = entries();
    this.owner = owner(http);
    this.peers =
        new PeerNode(
            settings.daemon(),
            settings.dataCentre(),
            local.entrySide(),
            entries,
            owner,
            new Control());
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
    this.stop = new StopSequence(STOP_GRACE_MS, settings.drainLimitMs());
  }

  /**
   * Starts a daemon.
   *
   * @param settings its settings
   * @throws IOException if a port cannot be had
   */
  public static EntryDaemon start(EntrySettings settings) throws IOException {
    EntryDaemon daemon = new EntryDaemon(settings);
    daemon.open();
    return daemon;
  }

  private Entries entries() {
    Routes routes =
        new AffinityRoutes(
            clock,
            settings.placementWeights(),
            endpoint -> this.ownership.server(endpoint),
            daemon -> this.peers.to(daemon));
    List<EntryShard> shards = new ArrayList<>();
    for (int i = 0; i < settings.threads(); i++) {
      RetryBudget budget = new RetryBudget(settings.retryBudgetPercent() / PERCENT, RETRY_BURST);
      shards.add(
          new EntryShard(
              clock, routes, AttemptSettings.DEFAULT, budget, events, new LateRecords()));
    }
    return new Entries(shards);
  }

  private LedgerNode ledger(PlatformClient platform) {
    long retention = settings.ledgerRetentionMs();
    return new LedgerNode(
        new LedgerMember(settings.daemon(), incarnation),
        new LedgerSettings(
            retention,
            retention / 2,
            LEDGER_SETTLE_MS,
            LEDGER_ASK_AGAIN_MS,
            LEDGER_ASK_AGAIN_MS,
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
                new AdaptivePlacement(PlacementSettings.defaults(), settings.placementWeights()),
                engines,
                new Gate(),
                events),
        new ServicePool(clock, http));
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
        HttpServer.builder(operatorGroup, new OperatorHandler(new View()))
            .start(address(settings.operatorPort()));
    callers =
        HttpServer.builder(group, callerHandler())
            .maxBodyBytes(settings.maxBodyBytes())
            .start(address(settings.callerPort()));
    every(REQUEST_ROUND_MS, "request round", this::requestRound);
    every(CONTROL_ROUND_MS, "control round", this::controlRound);
    every(settings.heartbeatIntervalMs(), "heartbeat", this::heartbeatRound);
    System.out.println(
        "ready caller=" + callers.port() + " operator=" + operators.port() + " peer=" + peerPort);
    EventLog.log(LogEvent.READY, settings.daemon(), callers.port());
  }

  private CallerHandler callerHandler() {
    CallerRequestParser parser =
        new CallerRequestParser(
            new RequestIds(settings.daemon(), incarnation), clock, settings.requestDeadlineMs());
    return new CallerHandler(parser, configuration::snapshot, this::closed, entries);
  }

  private void resetLink(DaemonId peer) {
    peers.reset(peer);
  }

  private Optional<ErrorKind> closed() {
    if (!phase().isAccepting()) {
      return Optional.of(ErrorKind.DRAINING);
    }
    return configuration.ready() ? Optional.empty() : Optional.of(ErrorKind.NO_CONFIGURATION);
  }

  private InetSocketAddress address(int port) {
    return new InetSocketAddress(settings.listenAddress(), port);
  }

  private void every(long periodMs, String name, Runnable round) {
    group
        .next()
        .scheduleAtFixedRate(() -> guarded(name, round), periodMs, periodMs, TimeUnit.MILLISECONDS);
  }

  private static void guarded(String name, Runnable round) {
    try {
      round.run();
    } catch (RuntimeException e) {
      // A fault in one round must not end its timer: no deadline would ever pass again.
      EventLog.log(LogEvent.INTERNAL_ERROR, name, e);
    }
  }

  private void requestRound() {
    entries.tick();
    owner.tick();
  }

  private void controlRound() {
    configuration.tick(ownership.alive());
    ConfigurationSnapshot snapshot = configuration.snapshot();
    ownership.tick(snapshot, configuration.preset().allowsPlannedMoves());
    owner.owns(ownership.served(snapshot.endpoints(settings.dataCentre())));
    owner.pauses(ownership.handingOver());
    // A fresh daemon that shows readiness before it knows the owners and is connected to them
    // refuses what the balancer sends it at once. Both come within moments; a peer that is dead
    // does not.
    reachesOwners |=
        peers.reaches(ownership.owners()) || clock.millis() - startedAt >= REACH_WAIT_MS;
    if (ownership.isHeartbeatDue()) {
      peers.neighbours().forEach(this::beat);
    }
    ledger.tick();
    stopRound();
  }

  private void heartbeatRound() {
    peers.neighbours().forEach(this::beat);
    if (heartbeats++ % REMOTE_HEARTBEATS == 0) {
      peers.remotes().forEach(this::beat);
    }
  }

  private void beat(DaemonId peer) {
    peers.send(
        peer, ownership.heartbeat(peer, configuration.root(), 0).cutOff(configuration.isCutOff()));
  }

  // Stopping.

  private StopSequence.Phase phase() {
    synchronized (stop) {
      return stop.phase();
    }
  }

  private void stopRound() {
    StopSequence.Phase before;
    StopSequence.Phase after;
    int underWay = entries.size() + owner.size();
    if (phase() != StopSequence.Phase.SERVING && entries.size() == 0) {
      // Not before: the record of a member's request is closed when the member leaves.
      ledger.leave();
    }
    synchronized (stop) {
      before = stop.phase();
      stop.tick(clock.millis(), underWay, ownership.hasSuccessor() ? ownership.owned() : 0);
      after = stop.phase();
    }
    if (before != after && after == StopSequence.Phase.STOPPED) {
      EventLog.log(LogEvent.STOPPED, underWay);
      stopped.countDown();
    }
  }

  /** Begins a planned stop: nothing under way is cut off, and everything owned is handed over. */
  public void drain() {
    synchronized (stop) {
      if (stop.phase() != StopSequence.Phase.SERVING) {
        return;
      }
      stop.begin(clock.millis());
    }
    EventLog.log(LogEvent.DRAINING, entries.size() + owner.size());
    timeline.record(TimelineEvent.of(TimelineKind.DRAINING).build());
    ownership.drain();
  }

  /**
   * Blocks until a planned stop has ended.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  public void awaitStop() throws InterruptedException {
    stopped.await();
    releaseLease();
    peers.stop();
    callers.close();
    operators.close();
    operatorGroup.shutdownGracefully(0, SHUTDOWN_MS, TimeUnit.MILLISECONDS);
    group.shutdownGracefully(0, SHUTDOWN_MS, TimeUnit.MILLISECONDS);
  }

  private void releaseLease() throws InterruptedException {
    try {
      ownership.release().get(SHUTDOWN_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException notReleased) {
      // It runs out by itself; only the next process under this name waits for that.
      EventLog.log(LogEvent.PLATFORM_UNREACHABLE, String.valueOf(notReleased.getMessage()));
    }
  }

  /** Asks the ownership part, which is made after the owner. */
  private final class Gate implements OrderGate {

    @Override
    public Optional<FencingNumber> permit(EndpointId endpoint, OrderKind kind) {
      return ownership.permit(endpoint, kind);
    }

    @Override
    public boolean mayOthersServe() {
      return ownership.mayOthersServe();
    }
  }

  /** Takes what peers say of themselves. */
  private final class Control implements PeerNode.ControlListener {

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
        configuration.heard(peer, beat.configuration(), beat.cutOff());
      }
      if (message instanceof PeerMessage.ObjectsPush push) {
        configuration.pushed(peer, push);
      } else if (message instanceof PeerMessage.ObjectsRequest request) {
        configuration.asked(peer, request);
      } else if (message instanceof PeerMessage.HostsPush push && peers.isNeighbour(peer)) {
        configuration.hostsPushed(push);
      } else if (message instanceof PeerMessage.Ledger about) {
        ledger.received(peer, about.message());
      } else {
        ownership.received(peer, message);
      }
    }
  }

  /** Reaches the ledger, which is made after the entries. */
  private final class LateRecords implements StartRecords {

    @Override
    public void record(CallerRequest request, Consumer<Optional<ErrorKind>> answer) {
      ledger.record(request, answer);
    }

    @Override
    public void finished(CallerRequest request, OutcomeClass outcome) {
      ledger.finished(request, outcome);
    }
  }

  /** Shows the daemon to operators. */
  private final class View implements OperatorView {

    @Override
    public boolean ready() {
      return phase().isReady() && configuration.ready() && reachesOwners;
    }

    @Override
    public String metrics() {
      return MetricsJson.of(metrics);
    }

    @Override
    public String status() {
      return new StatusReport(
              settings.daemon().value(),
              settings.dataCentre().value(),
              incarnation,
              ready(),
              phase() != StopSequence.Phase.SERVING,
              ownership.standing().name(),
              ownership.owned(),
              configuration.snapshot().revision(),
              configuration.preset().name(),
              entries.size(),
              owner.size())
          .json();
    }

    @Override
    public String timeline(TimelineQuery query) {
      return timeline.json(query);
    }

    @Override
    public void drain() {
      EntryDaemon.this.drain();
    }
  }
}
