package io.sequoiapass.daemon.connection.peer;

import io.netty.channel.EventLoopGroup;
import io.sequoiapass.coordination.DaemonId;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Keeps one connection open to each known peer, and opens it again when it closes.
 *
 * <p>Requests go out over these connections and their answers come back over them, so a closed
 * connection tells at once which requests lost their owner. Safe for use by several threads.
 */
public final class PeerLinks {

  /** First pause before a connection is opened again; doubles up to the maximum. */
  private static final long MIN_PAUSE_MS = 50;

  private static final long MAX_PAUSE_MS = 1_000;

  private final PeerTransport transport;
  private final EventLoopGroup group;
  private final PeerMessage.Hello hello;
  private final PeerEvents events;
  private final Map<DaemonId, Link> links = new ConcurrentHashMap<>();
  private volatile boolean stopped;

  /** Hears what happens on the connections to peers, on event loops; must not block. */
  public interface PeerEvents {

    /**
     * Called when a peer is connected.
     *
     * @param peer the peer
     * @param channel the connection
     */
    void connected(DaemonId peer, PeerChannel channel);

    /**
     * Called with each message that a peer sends back.
     *
     * @param peer the peer
     * @param channel the connection
     * @param message the message
     */
    void received(DaemonId peer, PeerChannel channel, PeerMessage message);

    /**
     * Called when a connection that was open has closed.
     *
     * @param peer the peer
     * @param channel the connection
     */
    void disconnected(DaemonId peer, PeerChannel channel);
  }

  /**
   * Makes links to nobody.
   *
   * @param transport opens connections
   * @param group schedules pauses
   * @param hello what each connection opens with
   * @param events hears what happens
   */
  public PeerLinks(
      PeerTransport transport, EventLoopGroup group, PeerMessage.Hello hello, PeerEvents events) {
    this.transport = Objects.requireNonNull(transport, "transport");
    this.group = Objects.requireNonNull(group, "group");
    this.hello = Objects.requireNonNull(hello, "hello");
    this.events = Objects.requireNonNull(events, "events");
  }

  /**
   * Keeps a connection to a peer from now on.
   *
   * @param peer the peer
   * @param address where it listens
   */
  public void add(DaemonId peer, InetSocketAddress address) {
    Link link = new Link(peer, address);
    if (links.putIfAbsent(peer, link) == null) {
      link.open();
    }
  }

  /**
   * Returns the open connection to a peer.
   *
   * @param peer the peer
   */
  public Optional<PeerChannel> channel(DaemonId peer) {
    return Optional.ofNullable(links.get(peer)).map(link -> link.channel);
  }

  /**
   * Closes the connection to a peer that is not heard any more; it is opened again at once.
   *
   * @param peer the peer
   */
  public void reset(DaemonId peer) {
    channel(peer).ifPresent(PeerChannel::close);
  }

  /** Closes all connections for good. */
  public void stop() {
    stopped = true;
    links.keySet().forEach(this::reset);
  }

  /** Is the connection to one peer, over all its reopenings. */
  private final class Link implements PeerListener {

    private final DaemonId peer;
    private final InetSocketAddress address;
    private volatile PeerChannel channel;
    private volatile long pauseMs = MIN_PAUSE_MS;

    Link(DaemonId peer, InetSocketAddress address) {
      this.peer = peer;
      this.address = address;
    }

    void open() {
      if (!stopped) {
        transport.connect(address, this);
      }
    }

    @Override
    public void opened(PeerChannel opened) {
      pauseMs = MIN_PAUSE_MS;
      opened.send(hello);
      channel = opened;
      events.connected(peer, opened);
    }

    @Override
    public void received(PeerChannel from, PeerMessage message) {
      events.received(peer, from, message);
    }

    @Override
    public void writabilityChanged(PeerChannel changed) {
      // Requests are small against a connection's buffer; their answers come the other way.
    }

    @Override
    public void closed(PeerChannel closed) {
      if (channel != null) {
        channel = null;
        events.disconnected(peer, closed);
      }
      group.next().schedule(this::open, pauseMs, TimeUnit.MILLISECONDS);
      pauseMs = Math.min(MAX_PAUSE_MS, pauseMs * 2);
    }
  }
}
