package io.sequoiapass.daemon.version;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.version.RepairSchedule;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Selects the peer to request differing objects from, and decides when only a listing from the
 * platform can resolve a difference.
 *
 * <p>Not thread-safe; guarded by the lock of the {@link ConfigurationNode}.
 */
final class ConfigurationRepair {

  /** Interval between two requests of a starting daemon to the same peer. */
  private static final long STARTUP_REQUEST_INTERVAL_MS = 1_000;

  /**
   * A difference that remains after a listing is a fault, which more frequent listings would not
   * resolve.
   */
  private static final long RELIST_INTERVAL_MS = 30_000;

  /** All daemons that differ from the same daemon request a listing; jitter spreads their calls. */
  private static final int RELIST_JITTER_MS = 2_000;

  private final DaemonId self;
  private final RepairSchedule schedule = RepairSchedule.create();
  private final Map<DaemonId, Long> peerRoots = new HashMap<>();
  private final Map<DaemonId, Long> startupRequestedAt = new HashMap<>();
  private final Map<DaemonId, Difference> differences = new HashMap<>();
  private long relistAt = Long.MAX_VALUE;
  private long relistScheduledAt = Long.MIN_VALUE / 2;

  ConfigurationRepair(DaemonId self) {
    this.self = Objects.requireNonNull(self, "self");
  }

  /**
   * Processes a peer's digest. Returns whether to send it a request immediately: a starting daemon
   * is ready only once every peer has answered, including those with an identical digest.
   */
  boolean digestReceived(long now, DaemonId peer, long peerRoot, long ownRoot, boolean ready) {
    peerRoots.put(peer, peerRoot);
    schedule.digestReceived(now, peer, peerRoot, ownRoot);
    long requestedAt = startupRequestedAt.getOrDefault(peer, now - STARTUP_REQUEST_INTERVAL_MS);
    if (ready || now - requestedAt < STARTUP_REQUEST_INTERVAL_MS) {
      return false;
    }
    startupRequestedAt.put(peer, now);
    return true;
  }

  /** Returns the peer to send a request to, if one is due. */
  Optional<DaemonId> due(long now, long ownRoot, boolean ready) {
    Optional<DaemonId> due = schedule.due(now, ownRoot);
    due.ifPresent(peer -> recordDifference(now, peer, ownRoot, ready));
    return due;
  }

  // Digests differ briefly while changes propagate. If both are unchanged and still differ after a
  // repair, the peers cannot resolve the difference: one holds an object that the other has
  // recorded as deleted. A listing from the platform decides which is right.
  private void recordDifference(long now, DaemonId peer, long ownRoot, boolean ready) {
    Difference difference = new Difference(peerRoots.getOrDefault(peer, ownRoot), ownRoot);
    boolean persists = difference.equals(differences.put(peer, difference));
    if (persists && ready && now - relistScheduledAt >= RELIST_INTERVAL_MS) {
      relistScheduledAt = now;
      relistAt = now + Math.floorMod(self.hashCode(), RELIST_JITTER_MS);
    }
  }

  /** Returns whether a persistent difference requires a listing. */
  boolean isListingDue(long now) {
    return now >= relistAt;
  }

  /** Records that the platform was listed. */
  void listed() {
    relistAt = Long.MAX_VALUE;
  }

  /** The digest roots of both peers at the time of a repair. */
  private record Difference(long peer, long own) {}
}
