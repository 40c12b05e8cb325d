package io.sequoiapass.daemon.version;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.version.RepairSchedule;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Tells which peer is asked for what differs, and when only the platform can tell.
 *
 * <p>Not thread-safe; the node drives it under its lock.
 */
final class ConfigurationRepair {

  /** Between two questions of a fresh daemon to one peer. */
  private static final long START_ASK_EVERY_MS = 1_000;

  /** A difference that a listing did not mend is a fault; asking more often would not mend it. */
  private static final long LIST_AGAIN_EVERY_MS = 30_000;

  /** All daemons that differ from one list; spread so that they don't in the same moment. */
  private static final int LIST_SPREAD_MS = 2_000;

  private final DaemonId self;
  private final RepairSchedule schedule = RepairSchedule.create();
  private final Map<DaemonId, Long> theirRoots = new HashMap<>();
  private final Map<DaemonId, Long> askedToStartAt = new HashMap<>();
  private final Map<DaemonId, Difference> differences = new HashMap<>();
  private long listAgainAt = Long.MAX_VALUE;
  private long listedAgainAt = Long.MIN_VALUE / 2;

  ConfigurationRepair(DaemonId self) {
    this.self = Objects.requireNonNull(self, "self");
  }

  /**
   * Takes in a peer's digest; returns whether it is to be asked at once: a fresh daemon is ready
   * only once every peer has answered, also those whose digest is the same.
   */
  boolean heard(long now, DaemonId peer, long theirRoot, long ownRoot, boolean ready) {
    theirRoots.put(peer, theirRoot);
    schedule.heard(now, peer, theirRoot, ownRoot);
    long askedAt = askedToStartAt.getOrDefault(peer, now - START_ASK_EVERY_MS);
    if (ready || now - askedAt < START_ASK_EVERY_MS) {
      return false;
    }
    askedToStartAt.put(peer, now);
    return true;
  }

  /** Returns the peer to ask now, if there is one. */
  Optional<DaemonId> due(long now, long ownRoot, boolean ready) {
    Optional<DaemonId> due = schedule.due(now, ownRoot);
    due.ifPresent(peer -> noteDifference(now, peer, ownRoot, ready));
    return due;
  }

  // While changes are on their way two digests differ for a moment. Two that stand still and still
  // differ after a repair cannot be mended between the peers: one of them holds what the other
  // knows to have ended. The platform's listing tells which.
  private void noteDifference(long now, DaemonId peer, long ownRoot, boolean ready) {
    Difference difference = new Difference(theirRoots.getOrDefault(peer, ownRoot), ownRoot);
    boolean stands = difference.equals(differences.put(peer, difference));
    if (stands && ready && now - listedAgainAt >= LIST_AGAIN_EVERY_MS) {
      listedAgainAt = now;
      listAgainAt = now + Math.floorMod(self.hashCode(), LIST_SPREAD_MS);
    }
  }

  /** Returns whether a difference stood that a listing has to mend. */
  boolean isListingDue(long now) {
    return now >= listAgainAt;
  }

  /** Takes in that the platform was listed. */
  void listed() {
    listAgainAt = Long.MAX_VALUE;
  }

  /** Two digests at one moment. */
  private record Difference(long theirs, long own) {}
}
