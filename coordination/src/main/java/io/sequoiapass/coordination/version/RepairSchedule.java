package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.DaemonId;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides when to request the differing objects from a peer with a different digest (anti-entropy).
 *
 * <pre>{@code
 * schedule.digestReceived(now, peer, beat.configuration(), root);
 * schedule.due(now, root).ifPresent(peer -> request(peer));
 * }</pre>
 *
 * <p>While a change propagates, digests differ for some milliseconds. An exchange costs 2 KB plus
 * the objects of a bucket, so it starts only if the own digest has been stable for a short time, or
 * if the two still differ on later heartbeats. Not thread-safe; confined to one shard.
 */
public final class RepairSchedule {

  /** Exceeds the time in which a push reaches all daemons over two hops, even on a busy host. */
  private static final long STABLE_DIGEST_MILLIS = 100;

  /** Exceeds one heartbeat interval; detects a lost push while the digests change continuously. */
  private static final long PERSISTENT_DIFFERENCE_MILLIS = 750;

  /** One answer usually repairs the difference to every peer, so the next request waits for it. */
  private static final long REQUEST_INTERVAL_MILLIS = 200;

  private final Map<DaemonId, Difference> differing = new TreeMap<>();
  private long requestedAt = Long.MIN_VALUE / 2;

  private RepairSchedule() {}

  /** Returns a schedule without differing peers. */
  public static RepairSchedule create() {
    return new RepairSchedule();
  }

  /**
   * Processes a peer's digest.
   *
   * @param now the time
   * @param peer the peer
   * @param peerRoot the root of the peer's digest
   * @param ownRoot the root of this daemon's digest
   */
  public void digestReceived(long now, DaemonId peer, long peerRoot, long ownRoot) {
    if (peerRoot == ownRoot) {
      differing.remove(peer);
    } else {
      differing.putIfAbsent(peer, new Difference(now, ownRoot));
    }
  }

  /**
   * Returns the peer to send a request to, if one is due, and removes it until its next digest is
   * received.
   *
   * @param now the time
   * @param ownRoot the root of this daemon's digest
   */
  public Optional<DaemonId> due(long now, long ownRoot) {
    if (now - requestedAt < REQUEST_INTERVAL_MILLIS) {
      return Optional.empty();
    }
    Optional<DaemonId> found =
        differing.entrySet().stream()
            .filter(entry -> entry.getValue().isDue(now, ownRoot))
            .map(Map.Entry::getKey)
            .findFirst();
    found.ifPresent(
        peer -> {
          differing.remove(peer);
          requestedAt = now;
        });
    return found;
  }

  private record Difference(long since, long ownRoot) {

    boolean isDue(long now, long currentRoot) {
      return now - since
          >= (currentRoot == ownRoot ? STABLE_DIGEST_MILLIS : PERSISTENT_DIFFERENCE_MILLIS);
    }
  }
}
