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
 * Replicates the ownership tables of a region's data centres between daemons.
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

  /** Returns the newest table of a data centre; empty if none was received. */
  OwnershipTable of(DataCentreId dataCentreId) {
    return newest.getOrDefault(dataCentreId, OwnershipTable.EMPTY);
  }

  private OwnershipReplica replica(DataCentreId dataCentreId) {
    return replicas.computeIfAbsent(dataCentreId, absent -> OwnershipReplica.create(self));
  }

  /**
   * Applies a table of this data centre that was read or written; returns the delta, if it is
   * newer.
   */
  Optional<OwnershipDelta> update(OwnershipTable table) {
    Optional<OwnershipDelta> delta = replica(dataCentre).tableReceived(table);
    publish(dataCentre);
    return delta;
  }

  /** Sends a change written by this daemon to every daemon of the region. */
  void broadcast(OwnershipDelta delta) {
    peers.broadcastTable(new PeerMessage.TableDelta(dataCentre, delta));
  }

  /** Applies a complete table; returns whether it updates that of this data centre. */
  boolean received(PeerMessage.TablePush push) {
    boolean newer = replica(push.dataCentre()).tableReceived(push.table()).isPresent();
    publish(push.dataCentre());
    return newer && push.dataCentre().equals(dataCentre);
  }

  /** Applies a delta; returns whether it updates the table of this data centre. */
  boolean received(PeerMessage.TableDelta push) {
    boolean newer = replica(push.dataCentre()).deltaReceived(push.delta());
    publish(push.dataCentre());
    return newer && push.dataCentre().equals(dataCentre);
  }

  /** Records the version that a peer holds of its data centre's table. */
  void peerVersionReceived(DaemonId peer, long version) {
    replica(peers.dataCentreOf(peer)).peerVersionReceived(peer, version);
  }

  /** Requests missing changes from peers. */
  void tick(long now) {
    replicas.forEach(
        (tableDataCentre, replica) ->
            replica
                .selectPeer(now, peers.daemonsOf(tableDataCentre))
                .ifPresent(
                    peer ->
                        peers.send(peer, new PeerMessage.TableRequest(replica.table().version()))));
  }

  /** Answers a peer's request for changes newer than the version that it holds. */
  void tableRequested(DaemonId peer, long knownVersion) {
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

  private void publish(DataCentreId changed) {
    OwnershipTable table = replica(changed).table();
    if (table.version() > of(changed).version()) {
      newest.put(changed, table);
      listener.tableChanged(changed, table);
    }
  }
}
