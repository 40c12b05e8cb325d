package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.daemon.connection.FrameChannel;
import io.sequoiapass.daemon.connection.FrameListener;
import io.sequoiapass.daemon.connection.FrameTransport;
import io.sequoiapass.gateway.connection.LinkFrames;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.CoordinatorLease;
import io.sequoiapass.gateway.spi.MetadataStore;
import io.sequoiapass.gateway.spi.StoreKind;
import io.sequoiapass.gateway.spi.StoreList;
import io.sequoiapass.gateway.spi.Stored;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Passes rare messages of a coordinator to the coordinators of other regions, to which no daemon of
 * this region is linked.
 *
 * <pre>{@code
 * relay.forward(crashReport);
 * }</pre>
 *
 * <p>Connections are opened on demand, and the addresses are read from the store only if one is
 * unknown or refused. A message that can't be delivered for some seconds is dropped: the other
 * region then decides on what it sees itself. Safe for use by several threads.
 */
final class RegionRelay {

  /** How long messages are collected before they are sent, in milliseconds. */
  private static final long COLLECT_MS = 100;

  /** Minimum interval between reads of the coordinators' addresses, in milliseconds. */
  private static final long READ_INTERVAL_MS = 5_000;

  /** A connection that is closed sooner was to a daemon that does not coordinate. */
  private static final long REJECTED_MS = 500;

  /** How long a message waits for a coordinator, in milliseconds. */
  private static final long MAX_AGE_MS = 15_000;

  /** Largest number of messages that wait for one coordinator; the oldest are dropped. */
  private static final int MAX_WAITING = 64;

  private final MetadataStore store;
  private final FrameTransport transport;
  private final ScheduledExecutorService loop;
  private final MillisClock clock;
  private final Map<DataCentreId, Target> targets = new HashMap<>();
  private boolean collects;
  private boolean repeats;
  private long readAt = Long.MIN_VALUE / 2;

  /** A coordinator of another region. */
  private static final class Target {
    private InetSocketAddress address;
    private FrameChannel channel;
    private final Deque<Message> waiting = new ArrayDeque<>();

    private void add(Message message) {
      waiting.add(message);
      if (waiting.size() > MAX_WAITING) {
        waiting.remove();
      }
    }
  }

  private record Message(LinkMessage content, long at) {}

  /**
   * Creates a relay without connections.
   *
   * @param others the data centres of other regions
   * @param store holds the coordinators' addresses
   * @param transport opens connections
   * @param loop runs timers
   * @param clock the monotonic clock
   */
  RegionRelay(
      Collection<DataCentreId> others,
      MetadataStore store,
      FrameTransport transport,
      ScheduledExecutorService loop,
      MillisClock clock) {
    others.forEach(dataCentre -> targets.put(dataCentre, new Target()));
    this.store = store;
    this.transport = transport;
    this.loop = loop;
    this.clock = clock;
  }

  /** Sends a message to the coordinators of all other regions. */
  synchronized void forward(LinkMessage content) {
    if (targets.isEmpty()) {
      return;
    }
    Message message = new Message(content, clock.millis());
    targets.values().forEach(target -> target.add(message));
    if (!collects) {
      collects = true;
      loop.schedule(this::collected, COLLECT_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void collected() {
    synchronized (this) {
      collects = false;
    }
    send();
  }

  private synchronized void repeatLater() {
    if (!repeats) {
      repeats = true;
      loop.schedule(this::repeat, READ_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void repeat() {
    synchronized (this) {
      repeats = false;
    }
    send();
  }

  private void send() {
    boolean reads;
    synchronized (this) {
      long now = clock.millis();
      boolean isUnknown = targets.values().stream().anyMatch(target -> target.address == null);
      reads = isUnknown && now - readAt >= READ_INTERVAL_MS;
      readAt = reads ? now : readAt;
    }
    if (reads) {
      store
          .list(StoreKind.LEASES)
          .whenComplete((leases, failure) -> loop.execute(() -> addressesRead(leases)));
    } else {
      deliverAll();
    }
  }

  private void addressesRead(StoreList<CoordinatorLease> leases) {
    synchronized (this) {
      if (leases != null) {
        leases
            .items()
            .forEach(item -> DataCentreId.parse(item.name()).ifPresent(name -> read(name, item)));
      }
    }
    deliverAll();
  }

  private void read(DataCentreId dataCentre, Stored<CoordinatorLease> item) {
    Target target = targets.get(dataCentre);
    if (target != null) {
      item.value()
          .filter(lease -> !lease.released())
          .ifPresent(lease -> target.address = lease.address());
    }
  }

  private synchronized void deliverAll() {
    long oldest = clock.millis() - MAX_AGE_MS;
    for (Target target : targets.values()) {
      target.waiting.removeIf(message -> message.at() < oldest);
      if (!target.waiting.isEmpty()) {
        deliver(target);
      }
    }
  }

  private void deliver(Target target) {
    if (target.channel != null && target.channel.isOpen()) {
      target.waiting.forEach(message -> target.channel.queue(LinkFrames.encode(message.content())));
      target.channel.flush();
      target.waiting.clear();
    } else if (target.address != null) {
      transport.connect(target.address, new Connection(target));
    } else {
      repeatLater();
    }
  }

  /** One connection to a coordinator, which closes it when it is idle. */
  private final class Connection implements FrameListener {

    private final Target target;
    private final Deque<Message> sent = new ArrayDeque<>();

    /** In the future until it has opened, so that a connection that fails counts as rejected. */
    private long openedAt = Long.MAX_VALUE / 2;

    Connection(Target target) {
      this.target = target;
    }

    @Override
    public void opened(FrameChannel channel) {
      synchronized (RegionRelay.this) {
        openedAt = clock.millis();
        target.channel = channel;
        sent.addAll(target.waiting);
        deliver(target);
      }
    }

    @Override
    public void received(FrameChannel channel, byte[] frame) {
      // Another region's status does not concern this one.
    }

    @Override
    public void closed(FrameChannel channel) {
      synchronized (RegionRelay.this) {
        if (clock.millis() - openedAt < REJECTED_MS) {
          target.address = null;
          sent.forEach(target::add);
          repeatLater();
        }
      }
    }
  }
}
