package io.sequoiapass.coordination.version;

import io.sequoiapass.coordination.DaemonId;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides when a starting daemon has enough configuration to serve.
 *
 * <pre>{@code
 * ColdStart start = ColdStart.create(now, 5_000);
 * start.peerAnswered(peer, true);
 * boolean serve = start.isReady(now, alivePeers) && schedule.inForce(wall).isPresent();
 * }</pre>
 *
 * <p>A daemon is ready once it has a complete listing from the platform, or all objects from every
 * live peer, at least one of which is ready itself. Otherwise a daemon that starts during a
 * platform outage could serve older versions than its peers. The wait for live peers that do not
 * answer is bounded. A ready daemon stays ready. Not thread-safe; confined to one shard.
 */
public final class ColdStart {

  private final long peerWaitEndsAt;
  private final Set<DaemonId> answered = new TreeSet<>();
  private boolean readyPeer;
  private boolean ready;

  private ColdStart(long peerWaitEndsAt) {
    this.peerWaitEndsAt = peerWaitEndsAt;
  }

  /**
   * Returns the state of a daemon that starts now.
   *
   * @param now the time
   * @param peerWaitMillis the maximum wait for live peers, in milliseconds
   */
  public static ColdStart create(long now, long peerWaitMillis) {
    if (peerWaitMillis <= 0) {
      throw new IllegalArgumentException("peerWait must be > 0: " + peerWaitMillis);
    }
    return new ColdStart(now + peerWaitMillis);
  }

  /** Records that a complete listing from the platform was applied. */
  public void platformListed() {
    ready = true;
  }

  /**
   * Records that all objects of a peer were applied.
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
   * @param alivePeers the live peers
   */
  public boolean isReady(long now, Collection<DaemonId> alivePeers) {
    boolean synchronizedWithPeers = answered.containsAll(alivePeers) || now >= peerWaitEndsAt;
    ready |= readyPeer && synchronizedWithPeers;
    return ready;
  }
}
