package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.process.OwnershipDelta;
import io.sequoiapass.coordination.process.OwnershipReplica;
import io.sequoiapass.coordination.process.OwnershipTable;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Exchanges the ownership tables of a region's data centres with other daemons.
 *
 * <p>Changes are guarded by the lock of the {@link OwnershipNode}; {@link #of} may be called by any
 * thread.
 */
final class OwnershipTables {

  private final DaemonId self;
  private final DataCentreId dataCentre;
  private final OwnershipPeers peers;
  private final OwnershipListener listener;
  private final Map<DataCentreId, OwnershipReplica> replicas = new TreeMap<>();
  private final Map<DataCentreId, OwnershipTable> newest = new ConcurrentHashMap<>();

  OwnershipTables(DaemonIdentity identity, OwnershipPeers peers, OwnershipListener listener) {
    this.self = identity.daemon();
    this.dataCentre = identity.dataCentre();
    this.peers = Objects.requireNonNull(peers, "peers");
    this.listener = Objects.requireNonNull(listener, "listener");
  }

  /** Returns the newest table known of a data centre. */
  OwnershipTable of(DataCentreId wanted) {
    return newest.getOrDefault(wanted, OwnershipTable.EMPTY);
  }

  private OwnershipReplica replica(DataCentreId wanted) {
    return replicas.computeIfAbsent(wanted, absent -> OwnershipReplica.create(self));
  }

  /** Takes in a table of the own data centre that was read or written; returns what it changed. */
  Optional<OwnershipDelta> known(OwnershipTable table) {
    Optional<OwnershipDelta> delta = replica(dataCentre).tableReceived(table);
    announce(dataCentre);
    return delta;
  }

  /** Sends a change that this daemon wrote to every daemon of the region. */
  void broadcast(OwnershipDelta delta) {
    peers.broadcastTable(new PeerMessage.TableDelta(dataCentre, delta));
  }

  /** Takes in a whole table; returns whether it is news of the own data centre. */
  boolean received(PeerMessage.TablePush push) {
    boolean newer = replica(push.dataCentre()).tableReceived(push.table()).isPresent();
    announce(push.dataCentre());
    return newer && push.dataCentre().equals(dataCentre);
  }

  /** Takes in a change; returns whether it is news of the own data centre. */
  boolean received(PeerMessage.TableDelta push) {
    boolean newer = replica(push.dataCentre()).deltaReceived(push.delta());
    announce(push.dataCentre());
    return newer && push.dataCentre().equals(dataCentre);
  }

  /** Takes in which version of its data centre's table a peer holds. */
  void versionSeen(DaemonId peer, long version) {
    replica(peers.dataCentreOf(peer)).versionSeen(peer, version);
  }

  /** Asks peers for what is missing. */
  void tick(long now) {
    replicas.forEach(
        (place, replica) ->
            replica
                .ask(now, peers.daemonsOf(place))
                .ifPresent(
                    peer ->
                        peers.send(peer, new PeerMessage.TableRequest(replica.table().version()))));
  }

  /** Answers a peer that asked for what is newer than the version that it holds. */
  void asked(DaemonId peer, long knownVersion) {
    OwnershipReplica replica = replica(dataCentre);
    if (!replica.isNewerThan(knownVersion)) {
      return;
    }
    PeerMessage answer =
        replica
            .deltaSince(knownVersion)
            .<PeerMessage>map(delta -> new PeerMessage.TableDelta(dataCentre, delta))
            .orElseGet(() -> new PeerMessage.TablePush(dataCentre, replica.table()));
    peers.send(peer, answer);
  }

  private void announce(DataCentreId changed) {
    OwnershipTable table = replica(changed).table();
    if (table.version() > of(changed).version()) {
      newest.put(changed, table);
      listener.tableChanged(changed, table);
    }
  }
}
