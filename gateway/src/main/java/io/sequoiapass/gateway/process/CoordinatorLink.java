package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
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
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * This daemon's link to the coordinator of one data centre.
 *
 * <p>It tells what the daemon does at that data centre's endpoints, asks for adapters, and takes in
 * what the endpoints hold and what others do there. Safe for use by several threads; its state is
 * one shard under its own lock.
 */
final class CoordinatorLink {

  /**
   * A coordinator that is silent for this long is given up, in milliseconds. It speaks several
   * times a second; a connection that went silent without a reset shows in no other way.
   */
  private static final long SILENT_MS = 1_000;

  /**
   * What this daemon does is told at least this often, in milliseconds, so that it counts as alive.
   */
  private static final long ALIVE_MS = 500;

  /**
   * While requests wait for places, an adapter that became idle is told after this time, in
   * milliseconds. With the next round its place would stand idle for half of a round more, and
   * answers last no longer than a few rounds.
   */
  private static final long IDLE_TELL_MS = 25;

  /** Hears what concerns requests that wait. */
  interface Listener {

    /** Called when an adapter is there or on its way. */
    void placed(AdapterName adapter);

    /** Called when a data centre cannot bring an adapter now. */
    void noRoom(DataCentreId dataCentre, AdapterName adapter, long comeBackMs);

    /** Called when a coordinator is heard for the first time, or is lost. */
    void changed();
  }

  private final DaemonId daemon;
  private final DataCentreId here;
  private final DataCentreId dataCentre;
  private final EndpointDirectory directory;
  private final FrameTransport transport;
  private final ScheduledExecutorService loop;
  private final MillisClock clock;
  private final DecisionLog log;
  private final Listener listener;
  private final Consumer<LinkMessage.Standing> onStanding;
  private final Runnable onLost;
  private FrameChannel channel;
  private InetSocketAddress address;
  private boolean connecting;
  private boolean heard;
  private long heardAt;
  private long toldAt;
  private boolean toldNothing;
  private int daemons;
  private int rounds;
  private volatile boolean placesWanted;
  private final AtomicBoolean tellingSoon = new AtomicBoolean();

  /**
   * Makes a link that is not connected.
   *
   * @param self this daemon and its data centre
   * @param dataCentre the coordinator's data centre
   * @param directory the endpoints
   * @param io what carries frames, time and log lines
   * @param listener hears of adapters
   * @param onStanding hears what the coordinator tells of itself
   * @param onLost runs when the coordinator is no longer heard
   */
  CoordinatorLink(
      LinkMessage.Hello self,
      DataCentreId dataCentre,
      EndpointDirectory directory,
      Io io,
      Listener listener,
      Consumer<LinkMessage.Standing> onStanding,
      Runnable onLost) {
    this.daemon = self.daemon();
    this.here = self.dataCentre();
    this.dataCentre = dataCentre;
    this.directory = directory;
    this.transport = io.transport();
    this.loop = io.loop();
    this.clock = io.clock();
    this.log = io.log();
    this.listener = listener;
    this.onStanding = onStanding;
    this.onLost = onLost;
  }

  /**
   * What carries frames, time and log lines.
   *
   * @param transport opens connections
   * @param loop runs what comes later
   * @param clock the monotonic clock
   * @param log the log
   */
  record Io(
      FrameTransport transport,
      ScheduledExecutorService loop,
      MillisClock clock,
      DecisionLog log) {}

  DataCentreId dataCentre() {
    return dataCentre;
  }

  /** Returns whether the coordinator is heard. */
  synchronized boolean isUp() {
    return channel != null && heard;
  }

  /** Returns whether a connection is open or being opened. */
  synchronized boolean isTrying() {
    return channel != null || connecting;
  }

  /** Returns how many daemons are linked to the coordinator, as last heard. */
  synchronized int daemons() {
    return isUp() ? daemons : 0;
  }

  /** Connects, unless it is connected. */
  void connect(InetSocketAddress to) {
    synchronized (this) {
      if (channel != null || connecting) {
        return;
      }
      connecting = true;
      address = to;
    }
    transport.connect(to, new LinkListener());
  }

  /** Closes a link whose coordinator has moved. */
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
        heard = false;
        heardAt = clock.millis();
        toldAt = 0;
      }
      opened.send(LinkFrames.encode(new LinkMessage.Hello(daemon, here)));
    }

    @Override
    public void received(FrameChannel from, byte[] frame) throws LinkFrames.FormatException {
      receive(LinkFrames.decode(frame));
    }

    @Override
    public void closed(FrameChannel lost) {
      boolean was;
      synchronized (CoordinatorLink.this) {
        was = isUp();
        channel = null;
        connecting = false;
        heard = false;
      }
      if (was) {
        directory.uncoordinated(dataCentre);
        onLost.run();
        log.belief("coordinator_lost")
            .with("data_centre", dataCentre)
            .with("address", String.valueOf(address))
            .write();
        listener.changed();
      }
    }
  }

  private void receive(LinkMessage message) {
    synchronized (this) {
      heardAt = clock.millis();
    }
    if (message instanceof LinkMessage.Standing standing) {
      standing(standing);
    } else if (message instanceof LinkMessage.Placements placements) {
      placements(placements);
    } else if (message instanceof LinkMessage.Loads loads) {
      loads
          .loads()
          .forEach(
              load ->
                  directory
                      .groupOf(load.endpoint())
                      .ifPresent(group -> group.setOthers(load.endpoint(), load.load())));
    } else if (message instanceof LinkMessage.Endpoints endpoints) {
      directory.relayed(endpoints);
    } else if (message instanceof LinkMessage.NoRoom noRoom) {
      listener.noRoom(dataCentre, noRoom.adapter(), noRoom.comeBackMs());
    }
  }

  private void standing(LinkMessage.Standing standing) {
    boolean first;
    synchronized (this) {
      daemons = standing.daemons();
      first = !heard;
      heard = true;
    }
    onStanding.accept(standing);
    directory.loads(dataCentre, standing.loads());
    placesWanted = standing.placesWanted();
    if (first) {
      directory.coordinated(dataCentre);
      log.belief("coordinator_found")
          .with("data_centre", dataCentre)
          .with("epoch", standing.epoch())
          .with("revision", standing.revision())
          .write();
      listener.changed();
    }
    if (standing.stopping()) {
      close();
    }
  }

  private void placements(LinkMessage.Placements placements) {
    long now = clock.millis();
    if (placements.whole()) {
      replaceAll(placements.placements(), now);
    } else {
      placements.placements().forEach(placement -> place(placement, now));
    }
    // Those that wait for an adapter which will not come after all look elsewhere, too.
    placements.placements().stream()
        .map(LinkMessage.Placement::adapter)
        .distinct()
        .forEach(listener::placed);
  }

  private void place(LinkMessage.Placement placement, long now) {
    EndpointState.Copy copy =
        placement.readyInMs() < 0
            ? null
            : new EndpointState.Copy(placement.version(), now + placement.readyInMs());
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
          .put(
              placement.adapter(),
              new EndpointState.Copy(placement.version(), now + placement.readyInMs()));
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

  /** Tells what this daemon does, and notices silence; called several times a second. */
  void tick() {
    long now = clock.millis();
    FrameChannel open;
    boolean silent;
    synchronized (this) {
      open = channel;
      silent = open != null && now - heardAt > SILENT_MS;
    }
    if (open == null) {
      return;
    }
    if (silent) {
      open.close();
      return;
    }
    rounds++;
    if (rounds % TellingPace.rounds(daemons()) == 0) {
      tell(open, now);
    }
  }

  /** Hears that an adapter became idle; must not block. */
  void idle() {
    if (placesWanted && tellingSoon.compareAndSet(false, true)) {
      long soonMs = IDLE_TELL_MS * TellingPace.rounds(daemons());
      loop.schedule(this::tellIdle, soonMs, TimeUnit.MILLISECONDS);
    }
  }

  private void tellIdle() {
    tellingSoon.set(false);
    FrameChannel open;
    synchronized (this) {
      open = isUp() ? channel : null;
    }
    if (open != null) {
      tell(open, clock.millis());
    }
  }

  private void tell(FrameChannel open, long now) {
    List<Activity> activities = new ArrayList<>();
    directory.groups().forEach(group -> activities.addAll(group.takeActivity(dataCentre, now)));
    synchronized (this) {
      if (activities.isEmpty() && toldNothing && now - toldAt < ALIVE_MS) {
        return;
      }
      toldNothing = activities.isEmpty();
      toldAt = now;
    }
    open.send(LinkFrames.encode(new LinkMessage.Doing(activities)));
  }
}
