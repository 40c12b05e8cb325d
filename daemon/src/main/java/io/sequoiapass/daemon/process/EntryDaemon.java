package io.sequoiapass.daemon.process;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.FencingNumber;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.process.RendezvousHash;
import io.sequoiapass.coordination.request.AttemptSettings;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.coordination.request.RetryBudget;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.daemon.connection.HttpClient;
import io.sequoiapass.daemon.connection.HttpServer;
import io.sequoiapass.daemon.connection.engine.EngineClient;
import io.sequoiapass.daemon.connection.peer.LocalLink;
import io.sequoiapass.daemon.connection.peer.PeerLinks;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.connection.peer.PeerTransport;
import io.sequoiapass.daemon.connection.platform.PlatformClient;
import io.sequoiapass.daemon.process.entry.CallerHandler;
import io.sequoiapass.daemon.process.entry.Entries;
import io.sequoiapass.daemon.process.entry.EntryShard;
import io.sequoiapass.daemon.process.entry.RendezvousRoutes;
import io.sequoiapass.daemon.process.log.EventLog;
import io.sequoiapass.daemon.process.log.LogEvent;
import io.sequoiapass.daemon.process.owner.Owner;
import io.sequoiapass.daemon.process.owner.OwnerShard;
import io.sequoiapass.daemon.process.owner.ServicePool;
import io.sequoiapass.daemon.process.placement.LruPlacement;
import io.sequoiapass.daemon.process.settings.EntrySettings;
import io.sequoiapass.daemon.process.timeline.Timeline;
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
import java.util.concurrent.atomic.AtomicBoolean;

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
  private static final long TICK_MS = 20;
  private static final double RETRY_BURST = 20;
  private static final double PERCENT = 100.0;

  private final EntrySettings settings;
  private final MillisClock clock = MillisClock.monotonic();
  private final MillisClock wall = MillisClock.wall();
  private final long incarnation = wall.millis();
  private final MetricRegistry metrics = new MetricRegistry();
  private final EventLoopGroup group;
  private final Timeline timeline;
  private final DaemonEvents events;
  private final Entries entries;
  private final Owner owner;
  private final PeerNode peers;
  private final ConfigurationNode configuration;
  private final LocalLink local;
  private final AtomicBoolean draining = new AtomicBoolean();
  private HttpServer callers;
  private HttpServer operators;

  private EntryDaemon(EntrySettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.group = new MultiThreadIoEventLoopGroup(settings.threads(), NioIoHandler.newFactory());
    this.timeline = Timeline.create(settings.daemon(), settings.timelineEvents(), wall);
    this.events = new DaemonEvents(metrics, timeline, clock);
    HttpClient http = HttpClient.create(group, CONNECT_TIMEOUT_MS);
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
            clock,
            wall,
            settings.daemon(),
            settings.dataCentre(),
            new PlatformClient(http, settings.platform(), PLATFORM_TIMEOUT_MS),
            peers,
            events);
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
    List<EntryShard> shards = new ArrayList<>();
    for (int i = 0; i < settings.threads(); i++) {
      RetryBudget budget = new RetryBudget(settings.retryBudgetPercent() / PERCENT, RETRY_BURST);
      shards.add(
          new EntryShard(
              clock,
              new RendezvousRoutes(endpoint -> ownerOf(endpoint), daemon -> this.peers.to(daemon)),
              AttemptSettings.DEFAULT,
              budget,
              events));
    }
    return new Entries(shards);
  }

  private Owner owner(HttpClient http) {
    EngineClient engines = new EngineClient(http);
    return new Owner(
        () ->
            new OwnerShard(
                clock,
                new LruPlacement(),
                engines,
                (endpoint, kind) -> Optional.of(new FencingNumber(1)),
                events),
        new ServicePool(clock, http));
  }

  private void open() throws IOException {
    EventLog.log(LogEvent.STARTED, settings.daemon(), settings.dataCentre(), settings.host());
    PeerTransport transport = PeerTransport.create(group, metrics);
    local.open(owner, new LocalEntry(entries));
    int peerPort = transport.listen(address(settings.peerPort()), peers::accepted);
    PeerMessage.Hello hello =
        new PeerMessage.Hello(settings.daemon(), settings.dataCentre(), incarnation);
    peers.start(new PeerLinks(transport, group, hello, peers), settings.peers());
    operators =
        HttpServer.builder(group, new OperatorHandler(new View()))
            .start(address(settings.operatorPort()));
    callers =
        HttpServer.builder(group, callerHandler())
            .maxBodyBytes(settings.maxBodyBytes())
            .start(address(settings.callerPort()));
    group.next().scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    group
        .next()
        .scheduleAtFixedRate(
            this::heartbeat,
            settings.heartbeatIntervalMs(),
            settings.heartbeatIntervalMs(),
            TimeUnit.MILLISECONDS);
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

  private Optional<ErrorKind> closed() {
    if (draining.get()) {
      return Optional.of(ErrorKind.DRAINING);
    }
    return configuration.ready() ? Optional.empty() : Optional.of(ErrorKind.NO_CONFIGURATION);
  }

  private InetSocketAddress address(int port) {
    return new InetSocketAddress(settings.listenAddress(), port);
  }

  private Optional<DaemonId> ownerOf(EndpointRecord endpoint) {
    return RendezvousHash.first(endpoint.id().value(), peers.daemonsOf(endpoint.dataCentre()));
  }

  private void tick() {
    try {
      configuration.tick(peers.neighbours());
      takeOwnership(configuration.snapshot());
      entries.tick();
      owner.tick();
    } catch (RuntimeException e) {
      // A fault in one tick must not end the timer: without it no deadline would ever pass again.
      EventLog.log(LogEvent.INTERNAL_ERROR, "tick", e);
    }
  }

  private void takeOwnership(ConfigurationSnapshot snapshot) {
    owner.owns(
        snapshot.endpoints(settings.dataCentre()).stream()
            .filter(one -> ownerOf(one).filter(settings.daemon()::equals).isPresent())
            .toList());
  }

  private void heartbeat() {
    peers.broadcast(
        new PeerMessage.Heartbeat(incarnation, draining.get(), configuration.root(), true, 0));
  }

  /** Blocks until the process is told to stop. */
  public void awaitStop() throws InterruptedException {
    group.terminationFuture().await();
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
    public void received(DaemonId peer, PeerMessage message) {
      if (message instanceof PeerMessage.Heartbeat beat) {
        configuration.heard(peer, beat.configuration());
      } else if (message instanceof PeerMessage.ObjectsPush push) {
        configuration.pushed(peer, push);
      } else if (message instanceof PeerMessage.ObjectsRequest request) {
        configuration.asked(peer, request);
      }
    }
  }

  /** Shows the daemon to operators. */
  private final class View implements OperatorView {

    @Override
    public boolean ready() {
      return closed().isEmpty();
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
              draining.get(),
              configuration.snapshot().revision(),
              configuration.preset().name(),
              entries.size(),
              owner.size())
          .json();
    }

    @Override
    public String timeline(io.sequoiapass.daemon.process.timeline.TimelineQuery query) {
      return timeline.json(query);
    }

    @Override
    public void drain() {
      draining.set(true);
    }
  }
}
