package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.DaemonId;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Tells when a fresh daemon knows enough configuration to serve.
 *
 * <pre>{@code
 * ColdStart start = ColdStart.create(now, 5_000);
 * start.peerAnswered(peer, true);
 * boolean serve = start.isReady(now, alivePeers) && schedule.inForce(wall).isPresent();
 * }</pre>
 *
 * <p>Ready is a daemon that has a complete listing from the platform, or everything from every peer
 * that it hears, one of which at least is ready itself. Without it a daemon that starts during an
 * outage would serve an older version than its neighbours do. A peer that is heard but does not
 * answer is waited for only so long. Once ready, always ready. Not thread-safe; one shard drives
 * it.
 */
public final class ColdStart {

  private final long peersUntil;
  private final Set<DaemonId> answered = new TreeSet<>();
  private boolean readyPeer;
  private boolean ready;

  private ColdStart(long peersUntil) {
    this.peersUntil = peersUntil;
  }

  /**
   * Returns the rule for a daemon that starts now.
   *
   * @param now the time
   * @param peerWaitMillis how long peers that are heard are waited for
   */
  public static ColdStart create(long now, long peerWaitMillis) {
    if (peerWaitMillis <= 0) {
      throw new IllegalArgumentException("peerWait must be > 0: " + peerWaitMillis);
    }
    return new ColdStart(now + peerWaitMillis);
  }

  /** Takes in that a complete listing from the platform was applied. */
  public void platformListed() {
    ready = true;
  }

  /**
   * Takes in that everything a peer holds was applied.
   *
   * @param peer the peer
   * @param peerReady whether the peer is ready itself
   */
  public void peerAnswered(DaemonId peer, boolean peerReady) {
    answered.add(peer);
    readyPeer |= peerReady;
  }

  /**
   * Returns whether the daemon may serve.
   *
   * @param now the time
   * @param alivePeers the peers that are heard from
   */
  public boolean isReady(long now, Collection<DaemonId> alivePeers) {
    boolean all = answered.containsAll(alivePeers) || now >= peersUntil;
    ready |= readyPeer && all;
    return ready;
  }
}
