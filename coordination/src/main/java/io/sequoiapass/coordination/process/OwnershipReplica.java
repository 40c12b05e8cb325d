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
 * Holds the newest ownership table of one data centre that this daemon knows, and keeps it current
 * by deltas between daemons.
 *
 * <pre>{@code
 * replica.deltaReceived(peer, delta);
 * replica.versionSeen(peer, heartbeatVersion);
 * replica.ask(now, connected).ifPresent(peer -> send(peer, replica.table().version()));
 * replica.deltaSince(version).ifPresent(found -> send(peer, found));
 * }</pre>
 *
 * <p>The table is always one that was on the platform, never a mix, since a delta is applied only
 * to its base version; and its version only grows. A delta that was lost, or came before its base,
 * shows as a gap: the replica then asks one peer at a time. Not thread-safe; one shard drives it.
 */
public final class OwnershipReplica {

  /** Between two requests: a round trip within a region, with room for a busy peer. */
  static final long ASK_AGAIN_MILLIS = 250;

  /** Deltas kept to answer peers that are this many changes behind; others get the whole table. */
  static final int HISTORY = 16;

  private final DaemonId self;
  private final Deque<OwnershipDelta> history = new ArrayDeque<>();
  private final Map<DaemonId, Long> holders = new TreeMap<>();
  private final Set<DaemonId> asked = new HashSet<>();
  private OwnershipTable table = OwnershipTable.EMPTY;
  private long pushedVersion;
  private long askAt = Long.MIN_VALUE;

  private OwnershipReplica(DaemonId self) {
    this.self = Objects.requireNonNull(self, "self");
  }

  /**
   * Returns a replica that knows no table yet.
   *
   * @param self the daemon, which spreads the requests of several over their peers
   */
  public static OwnershipReplica create(DaemonId self) {
    return new OwnershipReplica(self);
  }

  /** Returns the newest table known. */
  public OwnershipTable table() {
    return table;
  }

  /**
   * Takes in a whole table; an older one changes nothing.
   *
   * @param seen the table
   * @return what it changed; empty if it is not newer than the one known
   */
  public Optional<OwnershipDelta> tableReceived(OwnershipTable seen) {
    if (seen.version() <= table.version()) {
      return Optional.empty();
    }
    return Optional.of(advance(OwnershipDelta.between(table, seen), seen));
  }

  /**
   * Takes in a delta. One that leads from another version than the one known changes nothing; if it
   * leads to a newer one, that version is asked for.
   *
   * @param delta the delta
   * @return whether the table is newer now
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
    if (history.size() > HISTORY) {
      history.removeFirst();
    }
    holders.values().removeIf(version -> version <= next.version());
    asked.clear();
    askAt = Long.MIN_VALUE;
    return delta;
  }

  /**
   * Takes in which version a peer holds, as its heartbeat says.
   *
   * @param peer the peer
   * @param version the version
   */
  public void versionSeen(DaemonId peer, long version) {
    if (version > table.version()) {
      holders.merge(peer, version, Math::max);
    }
  }

  /**
   * Returns the peer to ask for what is newer than the table known, if something is and it is time.
   *
   * <p>A push goes to every daemon, so after a gap any of them is as good as its writer; were it
   * the writer, each daemon that misses the base would draw the whole table from one process. Each
   * daemon has its own order of peers, and the next is asked if one has not helped.
   *
   * @param now the time
   * @param peers the daemons that are connected and were sent what this one was sent
   */
  public Optional<DaemonId> ask(long now, Collection<DaemonId> peers) {
    Set<DaemonId> known = new HashSet<>(holders.keySet());
    if (pushedVersion > table.version()) {
      known.addAll(peers);
    }
    if (known.isEmpty() || now < askAt) {
      return Optional.empty();
    }
    if (asked.containsAll(known)) {
      asked.clear();
    }
    List<DaemonId> ranked = RendezvousHash.rank("table/" + self, known);
    Optional<DaemonId> peer =
        ranked.stream()
            .filter(candidate -> !asked.contains(candidate))
            .min(Comparator.comparing(candidate -> !holders.containsKey(candidate)));
    peer.ifPresent(asked::add);
    askAt = now + ASK_AGAIN_MILLIS;
    return peer;
  }

  /** Returns whether a peer that knows a version is behind this replica. */
  public boolean isNewerThan(long knownVersion) {
    return table.version() > knownVersion;
  }

  /**
   * Returns the delta for a peer that knows a version; empty if the table has to be sent whole,
   * because the version is none of the last ones or is not behind.
   *
   * @param knownVersion the version that the peer holds
   */
  public Optional<OwnershipDelta> deltaSince(long knownVersion) {
    Optional<OwnershipDelta> found = Optional.empty();
    for (OwnershipDelta delta : history) {
      if (found.isPresent()) {
        found = Optional.of(found.get().then(delta));
      } else if (delta.baseVersion() == knownVersion) {
        found = Optional.of(delta);
      }
    }
    return found;
  }
}
