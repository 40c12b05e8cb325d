package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Failure detector for the daemons of one data centre, based on their heartbeats only.
 *
 * <pre>{@code
 * Membership membership = Membership.create(MembershipSettings.DEFAULT, now);
 * membership.heartbeatReceived(now, peer, incarnation, MemberState.ALIVE);
 * List<MembershipChange> changes = membership.tick(now + 500);
 * }</pre>
 *
 * <p>Membership decides which daemons receive work and requests. It never decides which daemon owns
 * an endpoint: that requires a lease (see {@link LeaseObserver}). Not thread-safe; confined to one
 * shard.
 */
public final class Membership {

  /**
   * Time without a heartbeat after which one is overdue, in heartbeat intervals. Above 1, since
   * timers can fire late and each false alarm costs a read of one lease. With this value, a lease
   * of 3 s and heartbeats of 0.5 s, takeovers took at most 3.1 s in 24 runs on one busy core.
   */
  private static final double OVERDUE_AFTER_INTERVALS = 1.3;

  private final MembershipSettings settings;
  private final Map<DaemonId, Peer> peers = new TreeMap<>();
  private long lastTick;

  private Membership(MembershipSettings settings, long now) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.lastTick = now;
  }

  /**
   * Returns a membership without peers.
   *
   * @param settings the timing settings
   * @param now the time
   */
  public static Membership create(MembershipSettings settings, long now) {
    return new Membership(settings, now);
  }

  /**
   * Handles a peer's heartbeat.
   *
   * @param now the time
   * @param daemon the sender
   * @param incarnation the sender's incarnation
   * @param reported the state that the sender reports: ALIVE or DRAINING
   * @return the change, if there is one
   */
  public Optional<MembershipChange> heartbeatReceived(
      long now, DaemonId daemon, long incarnation, MemberState reported) {
    if (!reported.isReachable()) {
      throw new IllegalArgumentException("heartbeat state must be ALIVE or DRAINING: " + reported);
    }
    Peer peer = peers.computeIfAbsent(daemon, id -> new Peer());
    // A delayed heartbeat of a previous incarnation must not count as one of its successor. Once
    // the daemon is dead, any incarnation is accepted, since after a backward step of the wall
    // clock the newer process may have a lower one.
    if (incarnation < peer.incarnation && peer.state != MemberState.DEAD) {
      return Optional.empty();
    }
    boolean restarted = peer.heartbeatSeen && incarnation != peer.incarnation;
    MemberState from = peer.state;
    peer.heartbeatSeen = true;
    peer.lastHeartbeatAt = now;
    peer.reportedOverdue = false;
    peer.incarnation = incarnation;
    peer.state = reported;
    return from == reported && !restarted
        ? Optional.empty()
        : Optional.of(new MembershipChange(daemon, incarnation, from, reported, restarted));
  }

  /**
   * Adds a daemon found by its lease or in the host list; it counts as dead until its first
   * heartbeat.
   *
   * @param now the time
   * @param daemon the daemon
   */
  public void addPeer(long now, DaemonId daemon) {
    peers.computeIfAbsent(
        daemon,
        id -> {
          Peer peer = new Peer();
          peer.lastHeartbeatAt = now;
          return peer;
        });
  }

  /**
   * Adds a daemon with the state of its host in the platform's host list.
   *
   * @param now the time
   * @param daemon the daemon
   * @param hint the state in the list
   */
  public void addPeer(long now, DaemonId daemon, HostHint hint) {
    addPeer(now, daemon);
    updateHint(daemon, hint);
  }

  /**
   * Updates the state of a daemon's host in the platform's host list.
   *
   * @param daemon the daemon
   * @param hint the state in the list
   */
  public void updateHint(DaemonId daemon, HostHint hint) {
    Peer peer = peers.get(daemon);
    if (peer != null) {
      peer.hint = hint;
    }
  }

  /**
   * Advances the time.
   *
   * @param now the time
   * @return the state changes caused by missing heartbeats
   */
  public List<MembershipChange> tick(long now) {
    compensateForPause(now);
    List<MembershipChange> changes = new ArrayList<>();
    Iterator<Map.Entry<DaemonId, Peer>> all = peers.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<DaemonId, Peer> entry = all.next();
      Peer peer = entry.getValue();
      MemberState from = peer.state;
      peer.state = stateAfter(peer, now - peer.lastHeartbeatAt);
      if (peer.state != from) {
        changes.add(
            new MembershipChange(entry.getKey(), peer.incarnation, from, peer.state, false));
      }
      if (now - peer.lastHeartbeatAt >= settings.forgetAfterMillis()) {
        all.remove();
      }
    }
    return changes;
  }

  /**
   * Returns the peers whose heartbeat is overdue, each once until its next heartbeat; to be called
   * after {@link #tick}.
   *
   * <p>They are not suspected yet and keep their work. But a peer that is killed right after a
   * renewal has not announced the new lease version, and the lease duration counts only from the
   * read that observes it. If the lease were read only at the suspicion, after 2.5 heartbeat
   * intervals, takeovers would take up to 4.5 s with a lease of 3 s and heartbeats of 0.5 s on one
   * busy core.
   *
   * @param now the time
   */
  public Set<DaemonId> overdue(long now) {
    Set<DaemonId> found = new TreeSet<>();
    peers.forEach(
        (daemon, peer) -> {
          boolean late =
              now - peer.lastHeartbeatAt
                  >= OVERDUE_AFTER_INTERVALS * settings.heartbeatIntervalMillis();
          if (late && !peer.reportedOverdue && peer.state.isReachable()) {
            peer.reportedOverdue = true;
            found.add(daemon);
          }
        });
    return found;
  }

  /** Returns the state of a daemon; DEAD for an unknown one. */
  public MemberState state(DaemonId daemon) {
    Peer peer = peers.get(daemon);
    return peer == null ? MemberState.DEAD : peer.state;
  }

  /** Returns the incarnation of a daemon's last accepted heartbeat; -1 if there is none. */
  public long incarnation(DaemonId daemon) {
    Peer peer = peers.get(daemon);
    return peer == null || !peer.heartbeatSeen ? -1 : peer.incarnation;
  }

  /** Returns the peers that may receive endpoints, watches or proposals. */
  public Set<DaemonId> candidates() {
    Set<DaemonId> found = new TreeSet<>();
    peers.forEach(
        (daemon, peer) -> {
          if (peer.state.isCandidate()) {
            found.add(daemon);
          }
        });
    return found;
  }

  /** Returns all peers in any state. */
  public Set<DaemonId> peers() {
    return new TreeSet<>(peers.keySet());
  }

  /**
   * Returns whether every peer is reachable. An unreachable peer may be serving this daemon's
   * endpoints as their backup owner, so an eviction first reads the engine's state.
   */
  public boolean isEveryPeerReachable() {
    return peers.values().stream().allMatch(peer -> peer.state.isReachable());
  }

  // A frozen daemon reads no heartbeats. Without this compensation it would declare every peer dead
  // after its pause and send their work to other daemons. It suffices because the peers' heartbeats
  // in the next seconds decide, and leases keep ownership safe meanwhile.
  private void compensateForPause(long now) {
    long gap = now - lastTick;
    lastTick = now;
    if (gap <= settings.suspectAfterMillis()) {
      return;
    }
    peers.values().stream()
        .filter(peer -> peer.state.isReachable())
        .forEach(peer -> peer.lastHeartbeatAt = Math.min(now, peer.lastHeartbeatAt + gap));
  }

  private MemberState stateAfter(Peer peer, long silence) {
    if (peer.state == MemberState.DEAD
        || silence >= peer.hint.scaleTimeout(settings.deadAfterMillis())) {
      return MemberState.DEAD;
    }
    if (silence >= peer.hint.scaleTimeout(settings.suspectAfterMillis())) {
      return MemberState.SUSPECT;
    }
    return peer.state;
  }

  /** State of one peer. */
  private static final class Peer {
    private boolean heartbeatSeen;
    private long lastHeartbeatAt;
    private long incarnation = Long.MIN_VALUE;
    private MemberState state = MemberState.DEAD;
    private HostHint hint = HostHint.LIVE;
    private boolean reportedOverdue;
  }
}
