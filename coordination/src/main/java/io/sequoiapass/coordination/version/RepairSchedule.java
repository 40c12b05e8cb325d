package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.DaemonId;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides when a peer whose digest differs is asked for what differs.
 *
 * <pre>{@code
 * schedule.heard(now, peer, beat.configuration(), root);
 * schedule.due(now, root).ifPresent(peer -> ask(peer));
 * }</pre>
 *
 * <p>While a change is on its way to all, digests differ for some milliseconds. An exchange costs 2
 * KB and the objects of a bucket, so one is begun only if nothing arrived for a moment, or if the
 * two still differ on later heartbeats. Not thread-safe; one shard drives it.
 */
public final class RepairSchedule {

  /** Longer than a push takes to reach all over two hops, also on a busy host. */
  private static final long SETTLE_MILLIS = 100;

  /** More than one heartbeat: under steady changes a push that was lost shows by this. */
  private static final long LASTING_MILLIS = 750;

  /** One answer mostly mends the difference to every peer, so the next one waits for it. */
  private static final long ASK_EVERY_MILLIS = 200;

  private final Map<DaemonId, Difference> differing = new TreeMap<>();
  private long askedAt = Long.MIN_VALUE / 2;

  private RepairSchedule() {}

  /** Returns a schedule on which nobody differs. */
  public static RepairSchedule create() {
    return new RepairSchedule();
  }

  /**
   * Takes in a peer's digest.
   *
   * @param now the time
   * @param peer the peer
   * @param theirRoot the sum of what it holds
   * @param ownRoot the sum of what is held here
   */
  public void heard(long now, DaemonId peer, long theirRoot, long ownRoot) {
    if (theirRoot == ownRoot) {
      differing.remove(peer);
    } else {
      differing.putIfAbsent(peer, new Difference(now, ownRoot));
    }
  }

  /**
   * Returns the peer to ask now, if there is one; it is not returned again until it is heard again.
   *
   * @param now the time
   * @param ownRoot the sum of what is held here
   */
  public Optional<DaemonId> due(long now, long ownRoot) {
    if (now - askedAt < ASK_EVERY_MILLIS) {
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
          askedAt = now;
        });
    return found;
  }

  private record Difference(long since, long ownRoot) {

    boolean isDue(long now, long rootNow) {
      return now - since >= (rootNow == ownRoot ? SETTLE_MILLIS : LASTING_MILLIS);
    }
  }
}
