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
 * Keeps one connection open to each known peer and reconnects when it closes.
 *
 * <p>Requests and their answers use the same connection, so a closed connection immediately shows
 * which requests have lost their owner. Safe for use by several threads.
 */
public final class PeerLinks {

  /** Delay before the first attempt to reconnect; doubles up to the maximum. */
  private static final long MIN_RECONNECT_DELAY_MS = 50;

  private static final long MAX_RECONNECT_DELAY_MS = 1_000;

  private final PeerTransport transport;
  private final EventLoopGroup group;
  private final PeerMessage.Hello hello;
  private final PeerEvents events;
  private final Map<DaemonId, Link> links = new ConcurrentHashMap<>();
  private volatile boolean stopped;

  /** Receives events of the connections to peers. Called on event loops; must not block. */
  public interface PeerEvents {

    /**
     * Called when a peer is connected.
     *
     * @param peer the peer
     * @param channel the connection
     */
    void connected(DaemonId peer, PeerChannel channel);

    /**
     * Called with each message from a peer.
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
   * Creates an instance without links.
   *
   * @param transport opens connections
   * @param group schedules attempts to reconnect
   * @param hello the first message on each connection
   * @param events receives the events
   */
  public PeerLinks(
      PeerTransport transport, EventLoopGroup group, PeerMessage.Hello hello, PeerEvents events) {
    this.transport = Objects.requireNonNull(transport, "transport");
    this.group = Objects.requireNonNull(group, "group");
    this.hello = Objects.requireNonNull(hello, "hello");
    this.events = Objects.requireNonNull(events, "events");
  }

  /**
   * Adds a peer and connects to it; does nothing if the peer was added before.
   *
   * @param peer the peer
   * @param address the address it listens on
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
   * Closes the connection to an unresponsive peer; the link then reconnects.
   *
   * @param peer the peer
   */
  public void reset(DaemonId peer) {
    channel(peer).ifPresent(PeerChannel::close);
  }

  /** Closes all connections and stops reconnecting. */
  public void stop() {
    stopped = true;
    links.keySet().forEach(this::reset);
  }

  /** The connection to one peer, across reconnects. */
  private final class Link implements PeerListener {

    private final DaemonId peer;
    private final InetSocketAddress address;
    private volatile PeerChannel channel;
    private volatile long reconnectDelayMs = MIN_RECONNECT_DELAY_MS;

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
      reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
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
      // Requests are small compared to a connection's buffer; answers flow in the other direction.
    }

    @Override
    public void closed(PeerChannel closed) {
      if (channel != null) {
        channel = null;
        events.disconnected(peer, closed);
      }
      group.next().schedule(this::open, reconnectDelayMs, TimeUnit.MILLISECONDS);
      reconnectDelayMs = Math.min(MAX_RECONNECT_DELAY_MS, reconnectDelayMs * 2);
    }
  }
}
