package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.EndpointNotice;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The peers through which this daemon serves its callers while it has no path to the endpoints.
 *
 * <p>Coordinators select them. Each request goes to the peer with the fewest requests of this
 * daemon. Safe for use by several threads.
 */
public final class PeerDirectory {

  /**
   * How long a peer that could not be reached, or that does not accept requests, is left out, in
   * milliseconds. Coordinators send new peers more often while this daemon has no path.
   */
  private static final long EXCLUSION_MS = 1_000;

  private static final class Peer {
    private final DaemonId daemon;
    private InetSocketAddress address;
    private int running;
    private long excludedUntil = Long.MIN_VALUE;

    private Peer(DaemonId daemon) {
      this.daemon = daemon;
    }
  }

  private final MillisClock clock;
  private final Map<DaemonId, Peer> peers = new HashMap<>();
  private List<DaemonId> selected = List.of();

  /**
   * Creates a directory without peers.
   *
   * @param clock the monotonic clock
   */
  PeerDirectory(MillisClock clock) {
    this.clock = clock;
  }

  /** Replaces the peers by those that a coordinator has selected. */
  synchronized void update(LinkMessage.Peers update) {
    for (LinkMessage.Peer peer : update.peers()) {
      peers.computeIfAbsent(peer.daemon(), Peer::new).address = peer.address();
    }
    selected = update.peers().stream().map(LinkMessage.Peer::daemon).toList();
    peers.values().removeIf(peer -> peer.running == 0 && !selected.contains(peer.daemon));
  }

  /**
   * Returns whether a request can be sent through a peer.
   *
   * @param avoid peers that it must not be sent through
   */
  public synchronized boolean isAvailable(Set<DaemonId> avoid) {
    return choose(avoid).isPresent();
  }

  /**
   * Chooses a peer for a request and records that it is sent there; empty if there is none.
   *
   * @param avoid peers that it must not be sent through
   */
  public synchronized Optional<PeerTicket> begin(Set<DaemonId> avoid) {
    Optional<Peer> chosen = choose(avoid);
    chosen.ifPresent(peer -> peer.running++);
    return chosen.map(peer -> new PeerTicket(peer.daemon, peer.address));
  }

  private Optional<Peer> choose(Set<DaemonId> avoid) {
    long now = clock.millis();
    return selected.stream()
        .map(peers::get)
        .filter(peer -> !avoid.contains(peer.daemon) && now >= peer.excludedUntil)
        .min(Comparator.comparingInt(peer -> peer.running));
  }

  private synchronized void ended(DaemonId daemon, Recipient.Ending ending) {
    Peer peer = peers.get(daemon);
    if (peer != null) {
      peer.running--;
      if (ending == Recipient.Ending.FAILED) {
        peer.excludedUntil = clock.millis() + EXCLUSION_MS;
      }
    }
  }

  /** Tracks one request at a peer. */
  public final class PeerTicket implements Recipient {

    private final DaemonId daemon;
    private final InetSocketAddress address;
    private boolean ended;

    private PeerTicket(DaemonId daemon, InetSocketAddress address) {
      this.daemon = daemon;
      this.address = address;
    }

    /** Returns the peer. */
    public DaemonId daemon() {
      return daemon;
    }

    /** Returns where the peer accepts requests of other daemons. */
    public InetSocketAddress address() {
      return address;
    }

    @Override
    public String name() {
      return daemon.value();
    }

    /** Ignores the statement: the peer keeps to it, and this daemon does not reach the endpoint. */
    @Override
    public boolean noticed(EndpointNotice notice, boolean byEndpoint, long now) {
      return false;
    }

    @Override
    public void begun(long now) {}

    @Override
    public void progress(long now) {}

    @Override
    public boolean isStalled(long now) {
      return false;
    }

    @Override
    public void stalled(long now) {}

    @Override
    public void ended(Ending ending, long now) {
      synchronized (PeerDirectory.this) {
        if (!ended) {
          ended = true;
          PeerDirectory.this.ended(daemon, ending);
        }
      }
    }
  }
}
