package io.sequoiapass.daemon.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.HostId;
import io.sequoiapass.coordination.process.HostHint;
import io.sequoiapass.daemon.connection.peer.PeerChannel;
import io.sequoiapass.daemon.connection.peer.PeerLinks;
import io.sequoiapass.daemon.connection.peer.PeerListener;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import io.sequoiapass.daemon.process.entry.Channels;
import io.sequoiapass.daemon.process.entry.EntryShards;
import io.sequoiapass.daemon.process.owner.Owner;
import io.sequoiapass.daemon.process.ownership.OwnershipPeers;
import io.sequoiapass.daemon.process.settings.PeerAddress;
import io.sequoiapass.daemon.version.ConfigurationPeers;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Connects this daemon to its peers: dispatches received messages to the entry, the owner or the
 * control listener, and sends messages to daemons by name.
 *
 * <p>Requests and control messages are sent over the connection that this daemon opened, and
 * answers to the requests are received over it. Safe for use by several threads.
 */
final class PeerNode implements PeerLinks.PeerEvents, ConfigurationPeers, OwnershipPeers, Channels {

  private final DaemonId self;
  private final DataCentreId dataCentre;
  private final PeerChannel local;
  private final Map<DaemonId, PeerAddress> known = new ConcurrentHashMap<>();
  private final EntryShards entries;
  private final Owner owner;
  private final ControlListener control;
  private final Map<DaemonId, HostId> hosts = new ConcurrentHashMap<>();
  private final Set<PeerChannel> accepted = ConcurrentHashMap.newKeySet();
  private volatile PeerLinks links;

  /** Receives control messages, on event loops; must not block. */
  interface ControlListener {

    /** Called when a peer is connected. */
    void connected(DaemonId peer);

    /** Called when the connection to a peer has closed. */
    void disconnected(DaemonId peer);

    /** Returns the state of a host in the platform's host list. */
    HostHint hint(HostId host);

    /** Called with each control message. */
    void received(DaemonId peer, PeerMessage message);
  }

  PeerNode(
      DaemonId self,
      DataCentreId dataCentre,
      PeerChannel local,
      EntryShards entries,
      Owner owner,
      ControlListener control) {
    this.self = Objects.requireNonNull(self, "self");
    this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
    this.local = Objects.requireNonNull(local, "local");
    this.entries = Objects.requireNonNull(entries, "entries");
    this.owner = Objects.requireNonNull(owner, "owner");
    this.control = Objects.requireNonNull(control, "control");
  }

  void start(PeerLinks opened, List<PeerAddress> peers) {
    links = opened;
    for (PeerAddress peer : peers) {
      known.put(peer.daemon(), peer);
      opened.add(peer.daemon(), peer.address());
    }
  }

  @Override
  public List<DaemonId> neighbours() {
    return daemonsOf(dataCentre);
  }

  /** Returns the daemons of other data centres. */
  List<DaemonId> remotes() {
    return known.keySet().stream().filter(peer -> !isNeighbour(peer)).sorted().toList();
  }

  @Override
  public boolean isNeighbour(DaemonId peer) {
    return dataCentre.equals(dataCentreOf(peer));
  }

  @Override
  public DataCentreId dataCentreOf(DaemonId peer) {
    PeerAddress address = known.get(peer);
    return address == null ? dataCentre : address.dataCentre();
  }

  @Override
  public List<DaemonId> daemonsOf(DataCentreId wanted) {
    return known.values().stream()
        .filter(peer -> peer.dataCentre().equals(wanted))
        .map(PeerAddress::daemon)
        .sorted()
        .toList();
  }

  @Override
  public HostHint hint(DaemonId peer) {
    // A peer's host is unknown until the peer connects; the full timeout applies until then.
    HostId host = hosts.get(peer);
    return host == null ? HostHint.LIVE : control.hint(host);
  }

  @Override
  public void broadcastTable(PeerMessage.TableDelta push) {
    known.keySet().forEach(peer -> send(peer, push));
    accepted.forEach(channel -> channel.send(push));
  }

  @Override
  public Optional<PeerChannel> to(DaemonId daemon) {
    return daemon.equals(self) ? Optional.of(local) : links.channel(daemon);
  }

  @Override
  public void broadcast(PeerMessage message) {
    neighbours().forEach(peer -> send(peer, message));
  }

  @Override
  public void send(DaemonId peer, PeerMessage message) {
    links.channel(peer).ifPresent(channel -> channel.send(message));
  }

  /** Returns whether the set is not empty and each owner is this daemon or a connected peer. */
  boolean reaches(Set<DaemonId> owners) {
    return !owners.isEmpty() && owners.stream().allMatch(owner -> to(owner).isPresent());
  }

  /**
   * Closes the connection to an unresponsive peer, so that requests in flight stop waiting for it.
   */
  void reset(DaemonId peer) {
    links.reset(peer);
  }

  void stop() {
    links.stop();
  }

  @Override
  public void connected(DaemonId peer, PeerChannel channel) {
    control.connected(peer);
  }

  @Override
  public void received(DaemonId peer, PeerChannel channel, PeerMessage message) {
    if (message instanceof PeerMessage.OfAttempt ofAttempt) {
      entries.received(channel, ofAttempt);
    } else {
      control.received(peer, message);
    }
  }

  @Override
  public void disconnected(DaemonId peer, PeerChannel channel) {
    entries.ownerLost(channel);
    control.disconnected(peer);
  }

  /** Returns the listener of a connection that a peer opened. */
  PeerListener accepted() {
    return new Accepted();
  }

  /** Listener of a connection that a peer opened for its requests and control messages. */
  private final class Accepted implements PeerListener {

    private volatile DaemonId peer;

    @Override
    public void opened(PeerChannel channel) {
      accepted.add(channel);
      owner.opened(channel);
    }

    @Override
    public void received(PeerChannel channel, PeerMessage message) {
      if (message instanceof PeerMessage.Hello hello) {
        peer = hello.daemon();
        hosts.put(peer, hello.host());
      } else if (peer == null) {
        // The first message must be a Hello that identifies the peer.
        channel.close();
      } else if (message instanceof PeerMessage.OfAttempt) {
        owner.received(channel, message);
      } else {
        control.received(peer, message);
      }
    }

    @Override
    public void writabilityChanged(PeerChannel channel) {
      owner.writabilityChanged(channel);
    }

    @Override
    public void closed(PeerChannel channel) {
      accepted.remove(channel);
      owner.closed(channel);
    }
  }
}
