package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.process.ClockReading;
import io.sequoiapass.coordination.process.UsageReporter;
import io.sequoiapass.coordination.process.UsageThrottle;
import io.sequoiapass.coordination.process.WorkspaceUsage;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.daemon.connection.FrameListener;
import io.sequoiapass.daemon.connection.FrameTransport;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.version.AdapterName;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * This daemon's link to the coordinator of one data centre.
 *
 * <p>Sends usage reports and load requests, and receives placements and loads. Safe for use by
 * several threads; its state is one shard under its own lock.
 */
final class CoordinatorLink {

  /**
   * A link without messages for this long is closed, in milliseconds. Coordinators send several
   * messages a second; a connection that stalls without a reset can be detected in no other way.
   */
  private static final long IDLE_TIMEOUT_MS = 1_000;

  /**
   * Interval between reports of an idle daemon, in milliseconds, which serve as heartbeats;
   * coordinators disconnect a daemon after two seconds.
   */
  static final long IDLE_REPORT_MS = 1_200;

  /**
   * The same where API keys are revoked strictly, since each report carries the clocks with which a
   * coordinator proves the configuration.
   */
  static final long STRICT_IDLE_REPORT_MS = 500;

  /**
   * How long a connection that is being opened counts as a coordinator, in milliseconds; a
   * suspended host accepts connections and does not answer.
   */
  private static final long OPENING_MS = 400;

  /** Delay of the report that an adapter became idle while loads are queued, in milliseconds. */
  private static final long IDLE_REPORT_DELAY_MS = 25;

  /** Receives events that concern waiting requests. */
  interface Listener {

    /** Called when the placement of an adapter has changed. */
    void placed(AdapterName adapter);

    /** Called when a data centre cannot load an adapter now. */
    void loadRejected(DataCentreId dataCentre, AdapterName adapter, long retryAfterMs);

    /**
     * Called when a coordinator has replied to an ask for a permit.
     *
     * @param group the endpoint's group
     * @param granted whether a request may be sent
     */
    void permitReplied(EndpointGroup group, boolean granted);

    /** Called when a coordinator reports the version of an adapter. */
    void released(LinkMessage.Release release);

    /**
     * Called when a coordinator has read the configuration.
     *
     * @param asked this daemon's clocks before the coordinator asked the store
     * @param revision the configuration's revision in the answer
     */
    void configurationProved(ClockReading asked, long revision);

    /** Called when a coordinator has selected peers for this daemon. */
    void peersSelected(LinkMessage.Peers peers);

    /** Called when the coordinator of a data centre names the daemons that are linked to it. */
    void membersNamed(DataCentreId coordinator, LinkMessage.Members members);

    /** Called when the coordinator of a data centre has judged parts of prompts. */
    void partsJudged(DataCentreId coordinator, LinkMessage.PartVerdicts verdicts);

    /** Returns the verdicts on parts of prompts that a newly connected coordinator may not know. */
    LinkMessage knownVerdicts();

    /** Called for a message that concerns no other method of this interface. */
    void received(DataCentreId coordinator, LinkMessage message);

    /** Returns the messages to send with a report to a coordinator. */
    List<LinkMessage> reports(DataCentreId coordinator);

    /** Called when the link to a coordinator that was connected is lost. */
    void lost(DataCentreId coordinator);

    /** Called when a coordinator's first status arrives, or its link is lost. */
    void changed();
  }

  private final BooleanSupplier coordinates;
  private final BooleanSupplier servesPeers;
  private final InetSocketAddress peerAddress;
  private final long idleReportMs;
  private final DaemonId daemon;
  private final DataCentreId here;
  private final DataCentreId dataCentre;
  private final EndpointDirectory directory;
  private final FrameTransport transport;
  private final ScheduledExecutorService loop;
  private final MillisClock clock;
  private final DecisionLog log;
  private final Listener listener;
  private final Consumer<LinkMessage.CoordinatorStatus> onStatus;
  private final Runnable onLost;
  private FrameChannel channel;
  private InetSocketAddress address;
  private boolean connecting;
  private long connectingSince;
  private boolean alive;
  private boolean reconnects;
  private boolean stopping;
  private long lastReceivedAt;
  private long lastReportAt;
  private boolean lastReportEmpty;
  private boolean lastReportServing = true;
  private int daemons;
  private int rounds;
  private volatile boolean slotsWanted;
  private final AtomicBoolean reportScheduled = new AtomicBoolean();
  private final UsageThrottle throttle;
  private final ReportedLoads reportedLoads = new ReportedLoads();
  private final UsageReporter workspaceReports = new UsageReporter();
  private final MillisClock wall;

  /**
   * Creates a link that is not connected.
   *
   * @param daemon this daemon
   * @param here its data centre
   * @param dataCentre the coordinator's data centre
   * @param directory the endpoints
   * @param io transport, executor, clock and log
   * @param listener receives events about adapters
   * @param onStatus receives the coordinator's status
   * @param onLost runs when the link is lost
   */
  CoordinatorLink(
      DaemonId daemon,
      DataCentreId here,
      DataCentreId dataCentre,
      EndpointDirectory directory,
      Io io,
      Listener listener,
      Consumer<LinkMessage.CoordinatorStatus> onStatus,
      Runnable onLost) {
    this.coordinates = io.coordinates();
    this.servesPeers = io.servesPeers();
    this.peerAddress = io.peerAddress();
    this.idleReportMs = io.idleReportMs();
    this.daemon = daemon;
    this.here = here;
    this.dataCentre = dataCentre;
    this.directory = directory;
    this.transport = io.transport();
    this.loop = io.loop();
    this.clock = io.clock();
    this.log = io.log();
    this.wall = io.wall();
    this.throttle = io.throttle();
    this.listener = listener;
    this.onStatus = onStatus;
    this.onLost = onLost;
  }

  /**
   * Transport, executor, clocks, throttle and log.
   *
   * @param transport opens connections
   * @param loop runs timers
   * @param clock the monotonic clock
   * @param wall the wall clock
   * @param throttle what workspaces asked of this daemon
   * @param log the log
   * @param coordinates whether this daemon coordinates its data centre
   * @param servesPeers whether this daemon can serve requests of other daemons
   * @param peerAddress where it accepts them
   * @param idleReportMs interval between reports of an idle daemon, in milliseconds
   */
  record Io(
      FrameTransport transport,
      ScheduledExecutorService loop,
      MillisClock clock,
      MillisClock wall,
      UsageThrottle throttle,
      DecisionLog log,
      BooleanSupplier coordinates,
      BooleanSupplier servesPeers,
      InetSocketAddress peerAddress,
      long idleReportMs) {}

  DataCentreId dataCentre() {
    return dataCentre;
  }

  /** Returns whether the coordinator is connected. */
  synchronized boolean isUp() {
    return channel != null && alive;
  }

  /** Returns whether a connection is open or being opened. */
  synchronized boolean isOpenOrConnecting() {
    return channel != null || connecting;
  }

  /** Returns the state of the link for the election of the data centre's coordinator. */
  synchronized CoordinatorElection.Link state(long now) {
    if (isUp()) {
      return CoordinatorElection.Link.UP;
    }
    boolean opening = isOpenOrConnecting() && now - connectingSince < OPENING_MS;
    return opening ? CoordinatorElection.Link.OPENING : CoordinatorElection.Link.DOWN;
  }

  /** Returns the coordinator's address while it is connected. */
  synchronized Optional<LinkMessage.CoordinatorAddress> coordinator() {
    return isUp()
        ? Optional.of(new LinkMessage.CoordinatorAddress(dataCentre, address))
        : Optional.empty();
  }

  /**
   * Opens a connection that was lost without notice once more: most are reset while the coordinator
   * stays, and to read its address again is a call for each daemon.
   */
  void reconnect() {
    InetSocketAddress to;
    synchronized (this) {
      if (!reconnects) {
        return;
      }
      reconnects = false;
      to = address;
    }
    connect(to);
  }

  /** Returns how many daemons are linked to the coordinator, as last reported. */
  synchronized int daemons() {
    return isUp() ? daemons : 0;
  }

  /** Connects, unless a connection is open or being opened. */
  void connect(InetSocketAddress to) {
    synchronized (this) {
      if (channel != null || connecting) {
        return;
      }
      connecting = true;
      connectingSince = clock.millis();
      address = to;
    }
    transport.connect(to, new LinkListener());
  }

  /** Closes the link, for instance because its coordinator has moved. */
  void close() {
    FrameChannel open;
    synchronized (this) {
      open = channel;
    }
    if (open != null) {
      open.close();
    }
  }

  private final class LinkListener implements FrameListener {

    @Override
    public void opened(FrameChannel opened) {
      synchronized (CoordinatorLink.this) {
        channel = opened;
        connecting = false;
        alive = false;
        lastReceivedAt = clock.millis();
        lastReportAt = 0;
        workspaceReports.reset(throttle.totals());
        reportedLoads.clear();
      }
      opened.send(
          LinkFrames.encode(
              new LinkMessage.Hello(daemon, here, directory.listedRevision(), peerAddress)));
    }

    @Override
    public void received(FrameChannel from, byte[] frame) throws LinkFrames.FormatException {
      receive(LinkFrames.decode(frame));
    }

    @Override
    public void closed(FrameChannel lost) {
      boolean wasUp;
      synchronized (CoordinatorLink.this) {
        wasUp = isUp();
        channel = null;
        connecting = false;
        alive = false;
        reconnects = wasUp && !stopping;
      }
      if (wasUp) {
        directory.coordinatorDisconnected(dataCentre);
        onLost.run();
        listener.lost(dataCentre);
        log.event("coordinator_lost")
            .with("data_centre", dataCentre)
            .with("address", String.valueOf(address))
            .write();
        listener.changed();
      }
    }
  }

  private void receive(LinkMessage message) {
    synchronized (this) {
      lastReceivedAt = clock.millis();
    }
    if (message instanceof LinkMessage.CoordinatorStatus status) {
      status(status);
    } else if (message instanceof LinkMessage.Placements placements) {
      placements(placements);
    } else if (message instanceof LinkMessage.Loads loads) {
      loads
          .asked()
          .ifPresent(asked -> listener.configurationProved(asked, loads.configurationRevision()));
      Map<EndpointId, Load> others = others(loads);
      directory.groups().forEach(group -> group.setOthers(dataCentre, others, clock.millis()));
    } else if (message instanceof LinkMessage.Endpoints endpoints) {
      directory.applyUpdate(endpoints);
    } else if (message instanceof LinkMessage.Releases releases) {
      releases.releases().forEach(listener::released);
    } else if (message instanceof LinkMessage.LoadRejected rejected) {
      listener.loadRejected(dataCentre, rejected.adapter(), rejected.retryAfterMs());
    } else if (message instanceof LinkMessage.PermitReply reply) {
      directory.groupOf(reply.endpoint()).ifPresent(group -> permitReplied(group, reply));
    } else if (message instanceof LinkMessage.Peers peers) {
      listener.peersSelected(peers);
    } else if (message instanceof LinkMessage.Members members) {
      listener.membersNamed(dataCentre, members);
    } else if (message instanceof LinkMessage.PartVerdicts verdicts) {
      listener.partsJudged(dataCentre, verdicts);
    } else {
      listener.received(dataCentre, message);
    }
  }

  private void permitReplied(EndpointGroup group, LinkMessage.PermitReply reply) {
    group.permitReplied(reply, clock.millis());
    listener.permitReplied(group, reply.type() == LinkMessage.PermitReply.Type.GRANTED);
  }

  private synchronized Map<EndpointId, Load> others(LinkMessage.Loads loads) {
    Map<EndpointId, Load> totals = new HashMap<>();
    loads.loads().forEach(load -> totals.put(load.endpoint(), load.load()));
    return reportedLoads.others(totals, loads.included());
  }

  private void status(LinkMessage.CoordinatorStatus status) {
    boolean first;
    synchronized (this) {
      daemons = status.daemons();
      first = !alive;
      alive = true;
      stopping = status.stopping();
    }
    onStatus.accept(status);
    directory.setLoadTimes(dataCentre, status.loads());
    slotsWanted = status.slotsWanted();
    if (first) {
      directory.coordinatorConnected(dataCentre);
      log.event("coordinator_found")
          .with("data_centre", dataCentre)
          .with("epoch", status.epoch())
          .with("revision", status.revision())
          .write();
      send(listener.knownVerdicts());
      listener.changed();
    }
    if (status.stopping()) {
      close();
    }
  }

  private void placements(LinkMessage.Placements placements) {
    long now = clock.millis();
    if (placements.snapshot()) {
      replaceAll(placements.placements(), now);
    } else {
      placements.placements().forEach(placement -> place(placement, now));
    }
    // Removals count, too: requests that wait for a load which was abandoned have to use another
    // endpoint.
    placements.placements().stream()
        .map(LinkMessage.Placement::adapter)
        .distinct()
        .forEach(listener::placed);
  }

  private void place(LinkMessage.Placement placement, long now) {
    EndpointState.Copy copy =
        placement.readyInMs() < 0 ? null : EndpointState.Copy.reported(placement, now);
    directory
        .groupOf(placement.endpoint())
        .ifPresent(group -> group.setCopy(placement.endpoint(), placement.adapter(), copy));
  }

  private void replaceAll(List<LinkMessage.Placement> placements, long now) {
    Map<EndpointId, Map<AdapterName, EndpointState.Copy>> copies = new HashMap<>();
    for (EndpointGroup group : directory.groups()) {
      group.entries(now).stream()
          .filter(entry -> entry.dataCentre().equals(dataCentre))
          .forEach(entry -> copies.put(entry.endpoint(), new HashMap<>()));
    }
    for (LinkMessage.Placement placement : placements) {
      copies
          .computeIfAbsent(placement.endpoint(), id -> new HashMap<>())
          .put(placement.adapter(), EndpointState.Copy.reported(placement, now));
    }
    copies.forEach(
        (endpoint, held) ->
            directory.groupOf(endpoint).ifPresent(group -> group.replaceCopies(endpoint, held)));
  }

  /** Sends a message; returns false if there is no coordinator. */
  boolean send(LinkMessage message) {
    FrameChannel open;
    synchronized (this) {
      open = isUp() ? channel : null;
    }
    return open != null && open.send(LinkFrames.encode(message));
  }

  /** Sends usage reports and closes an idle link; called several times a second. */
  void tick() {
    long now = clock.millis();
    FrameChannel open;
    boolean idle;
    synchronized (this) {
      open = channel;
      idle = open != null && now - lastReceivedAt > IDLE_TIMEOUT_MS;
    }
    if (open == null) {
      return;
    }
    if (idle) {
      open.close();
      return;
    }
    rounds++;
    if (rounds % BroadcastInterval.rounds(daemons()) == 0) {
      sendReport(open, now);
    }
  }

  /** Called when an adapter became idle; must not block. */
  void idle() {
    if (slotsWanted && reportScheduled.compareAndSet(false, true)) {
      long delayMs = IDLE_REPORT_DELAY_MS * BroadcastInterval.rounds(daemons());
      loop.schedule(this::reportIdle, delayMs, TimeUnit.MILLISECONDS);
    }
  }

  private void reportIdle() {
    reportScheduled.set(false);
    FrameChannel open;
    synchronized (this) {
      open = isUp() ? channel : null;
    }
    if (open != null) {
      sendReport(open, clock.millis());
    }
  }

  private void sendReport(FrameChannel open, long now) {
    List<EndpointUsage> usages = new ArrayList<>();
    directory.groups().forEach(group -> usages.addAll(group.takeUsage(dataCentre, now)));
    List<WorkspaceUsage> workspaces;
    ClockReading sentAt = ClockReading.now(clock, wall);
    boolean serving = servesPeers.getAsBoolean();
    List<LinkMessage> reports = listener.reports(dataCentre);
    synchronized (this) {
      workspaces = workspaceReports.next(throttle.totals());
      boolean empty =
          usages.isEmpty()
              && workspaces.isEmpty()
              && reports.isEmpty()
              && serving == lastReportServing;
      if (empty && lastReportEmpty && now - lastReportAt < idleReportMs) {
        return;
      }
      lastReportEmpty = empty;
      lastReportServing = serving;
      lastReportAt = now;
      reportedLoads.add(sentAt, usages);
    }
    reports.forEach(report -> open.queue(LinkFrames.encode(report)));
    open.send(
        LinkFrames.encode(
            new LinkMessage.UsageReport(
                coordinates.getAsBoolean(), serving, sentAt, usages, workspaces)));
  }
}
