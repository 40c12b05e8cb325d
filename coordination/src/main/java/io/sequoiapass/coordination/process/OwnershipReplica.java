package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * This daemon's copy of one data centre's ownership table, updated by deltas from other daemons.
 *
 * <pre>{@code
 * replica.deltaReceived(delta);
 * replica.peerVersionReceived(peer, heartbeatVersion);
 * replica.selectPeer(now, connected).ifPresent(peer -> send(peer, replica.table().version()));
 * replica.deltaSince(version).ifPresent(found -> send(peer, found));
 * }</pre>
 *
 * <p>The table is always one that was stored on the platform, never a mixture of two, since a delta
 * is applied only to its base version; and its version only increases. A delta that was lost or
 * received before its base causes a gap; the replica then requests the missing changes from one
 * peer at a time. Not thread-safe; confined to one shard.
 */
public final class OwnershipReplica {

  /**
   * Interval between two requests; covers a round trip within a region and the delay of a busy
   * peer.
   */
  static final long REQUEST_INTERVAL_MILLIS = 250;

  /**
   * Number of deltas kept for peers that are at most this many changes behind; other peers receive
   * the complete table.
   */
  static final int HISTORY_SIZE = 16;

  private final DaemonId self;
  private final Deque<OwnershipDelta> history = new ArrayDeque<>();
  private final Map<DaemonId, Long> holders = new TreeMap<>();
  private final Set<DaemonId> requested = new HashSet<>();
  private OwnershipTable table = OwnershipTable.EMPTY;
  private long pushedVersion;
  private long nextRequestAt = Long.MIN_VALUE;

  private OwnershipReplica(DaemonId self) {
    this.self = Objects.requireNonNull(self, "self");
  }

  /**
   * Returns a replica with an empty table.
   *
   * @param self the daemon; ranks the peers differently for each daemon, so that requests are
   *     spread over them
   */
  public static OwnershipReplica create(DaemonId self) {
    return new OwnershipReplica(self);
  }

  /** Returns the newest table received. */
  public OwnershipTable table() {
    return table;
  }

  /**
   * Handles a complete table; one that is not newer changes nothing.
   *
   * @param received the table
   * @return the changes; empty if the table is not newer than the current one
   */
  public Optional<OwnershipDelta> tableReceived(OwnershipTable received) {
    if (received.version() <= table.version()) {
      return Optional.empty();
    }
    return Optional.of(advance(OwnershipDelta.between(table, received), received));
  }

  /**
   * Handles a delta. A delta with a different base version than the current table changes nothing;
   * if it results in a newer version, that version is requested from peers.
   *
   * @param delta the delta
   * @return whether the delta was applied
   */
  public boolean deltaReceived(OwnershipDelta delta) {
    if (delta.version() <= table.version()) {
      return false;
    }
    Optional<OwnershipTable> next = delta.applyTo(table);
    if (next.isEmpty()) {
      pushedVersion = Math.max(pushedVersion, delta.version());
      return false;
    }
    advance(delta, next.get());
    return true;
  }

  private OwnershipDelta advance(OwnershipDelta delta, OwnershipTable next) {
    table = next;
    history.addLast(delta);
    if (history.size() > HISTORY_SIZE) {
      history.removeFirst();
    }
    holders.values().removeIf(version -> version <= next.version());
    requested.clear();
    nextRequestAt = Long.MIN_VALUE;
    return delta;
  }

  /**
   * Handles the table version of a peer's heartbeat.
   *
   * @param peer the peer
   * @param version the version
   */
  public void peerVersionReceived(DaemonId peer, long version) {
    if (version > table.version()) {
      holders.merge(peer, version, Math::max);
    }
  }

  /**
   * Returns the peer to request newer changes from; empty if there are none or no request is due.
   *
   * <p>A delta is pushed to every daemon, so any peer can fill a gap. If requests went to the
   * writer only, every daemon that misses the base would fetch the complete table from one process.
   * Each daemon has its own order of peers, and requests from the next one if the previous one did
   * not fill the gap.
   *
   * @param now the time
   * @param peers the connected daemons, which were sent the same deltas as this one
   */
  public Optional<DaemonId> selectPeer(long now, Collection<DaemonId> peers) {
    Set<DaemonId> sources = new HashSet<>(holders.keySet());
    if (pushedVersion > table.version()) {
      sources.addAll(peers);
    }
    if (sources.isEmpty() || now < nextRequestAt) {
      return Optional.empty();
    }
    if (requested.containsAll(sources)) {
      requested.clear();
    }
    List<DaemonId> ranked = RendezvousHash.rank("table/" + self, sources);
    Optional<DaemonId> peer =
        ranked.stream()
            .filter(candidate -> !requested.contains(candidate))
            .min(Comparator.comparing(candidate -> !holders.containsKey(candidate)));
    peer.ifPresent(requested::add);
    nextRequestAt = now + REQUEST_INTERVAL_MILLIS;
    return peer;
  }

  /** Returns whether this replica is newer than the given version of a peer. */
  public boolean isNewerThan(long peerVersion) {
    return table.version() > peerVersion;
  }

  /**
   * Returns the delta for a peer that holds the given version; empty if the complete table has to
   * be sent, because the version is not the base of a kept delta.
   *
   * @param peerVersion the version that the peer holds
   */
  public Optional<OwnershipDelta> deltaSince(long peerVersion) {
    Optional<OwnershipDelta> found = Optional.empty();
    for (OwnershipDelta delta : history) {
      if (found.isPresent()) {
        found = Optional.of(found.get().compose(delta));
      } else if (delta.baseVersion() == peerVersion) {
        found = Optional.of(delta);
      }
    }
    return found;
  }
}
