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
 * Tells which daemons of the own data centre are heard from, by their heartbeats alone.
 *
 * <pre>{@code
 * Membership membership = Membership.create(MembershipSettings.DEFAULT, now);
 * membership.heartbeatReceived(now, peer, incarnation, MemberState.ALIVE);
 * List<MembershipChange> changes = membership.tick(now + 500);
 * }</pre>
 *
 * <p>Membership decides where to send work and whom to ask. It never decides who owns an endpoint:
 * that takes a lease (see {@link LeaseObserver}). Not thread-safe; one shard drives it.
 */
public final class Membership {

  /**
   * Silence, in heartbeats, from which on one is overdue: above one, since timers are late at times
   * and each false alarm costs a read of one lease. With it takeovers took at most 3.1 s in 24 runs
   * on one busy core, with a lease of 3 s and heartbeats of 0.5 s.
   */
  private static final double OVERDUE_AFTER = 1.3;

  private final MembershipSettings settings;
  private final Map<DaemonId, Peer> peers = new TreeMap<>();
  private long lastTick;

  private Membership(MembershipSettings settings, long now) {
    this.settings = Objects.requireNonNull(settings, "settings");
    this.lastTick = now;
  }

  /**
   * Returns a membership that knows nobody yet.
   *
   * @param settings the times
   * @param now the time
   */
  public static Membership create(MembershipSettings settings, long now) {
    return new Membership(settings, now);
  }

  /**
   * Takes in a peer's heartbeat.
   *
   * @param now the time
   * @param daemon the sender
   * @param incarnation the sender's incarnation
   * @param said what it says of itself: ALIVE or DRAINING
   * @return the change, if there is one
   */
  public Optional<MembershipChange> heartbeatReceived(
      long now, DaemonId daemon, long incarnation, MemberState said) {
    if (!said.isReachable()) {
      throw new IllegalArgumentException("a heartbeat says ALIVE or DRAINING, not " + said);
    }
    Peer peer = peers.computeIfAbsent(daemon, id -> new Peer());
    // A heartbeat of a former process that was held up on its way would keep a name alive that its
    // successor already uses. Once nobody is heard under the name any number will do, since a
    // wall clock that stepped back may have numbered the newer process lower.
    if (incarnation < peer.incarnation && peer.state != MemberState.DEAD) {
      return Optional.empty();
    }
    boolean restarted = peer.heard && incarnation != peer.incarnation;
    MemberState from = peer.state;
    peer.heard = true;
    peer.lastHeard = now;
    peer.noted = false;
    peer.incarnation = incarnation;
    peer.state = said;
    return from == said && !restarted
        ? Optional.empty()
        : Optional.of(new MembershipChange(daemon, incarnation, from, said, restarted));
  }

  /**
   * Takes in that a daemon exists, from its lease or the host list; it counts as dead until heard.
   *
   * @param now the time
   * @param daemon the daemon
   */
  public void learned(long now, DaemonId daemon) {
    peers.computeIfAbsent(
        daemon,
        id -> {
          Peer peer = new Peer();
          peer.lastHeard = now;
          return peer;
        });
  }

  /**
   * Takes in that a daemon exists, and what the platform's host list says of its host.
   *
   * @param now the time
   * @param daemon the daemon
   * @param hint what the list says
   */
  public void learned(long now, DaemonId daemon, HostHint hint) {
    learned(now, daemon);
    hinted(daemon, hint);
  }

  /**
   * Takes in what the platform's host list says of a daemon's host.
   *
   * @param daemon the daemon
   * @param hint what the list says
   */
  public void hinted(DaemonId daemon, HostHint hint) {
    Peer peer = peers.get(daemon);
    if (peer != null) {
      peer.hint = hint;
    }
  }

  /**
   * Lets time pass.
   *
   * @param now the time
   * @return the changes that silence brought
   */
  public List<MembershipChange> tick(long now) {
    forgivePause(now);
    List<MembershipChange> changes = new ArrayList<>();
    Iterator<Map.Entry<DaemonId, Peer>> all = peers.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<DaemonId, Peer> entry = all.next();
      Peer peer = entry.getValue();
      MemberState from = peer.state;
      peer.state = stateAfter(peer, now - peer.lastHeard);
      if (peer.state != from) {
        changes.add(
            new MembershipChange(entry.getKey(), peer.incarnation, from, peer.state, false));
      }
      if (now - peer.lastHeard >= settings.forgetAfterMillis()) {
        all.remove();
      }
    }
    return changes;
  }

  /**
   * Returns the peers whose heartbeat is overdue, each once for a silence; to be called after
   * {@link #tick}.
   *
   * <p>They are not suspected yet and keep their work. But one that was killed right after it
   * renewed its lease told nobody, and the lease can only be counted from when it is read again:
   * read at the suspicion, after two and a half heartbeats, it delayed takeovers to 4.5 s with a
   * lease of 3 s and heartbeats of 0.5 s, measured on one busy core.
   *
   * @param now the time
   */
  public Set<DaemonId> overdue(long now) {
    Set<DaemonId> found = new TreeSet<>();
    peers.forEach(
        (daemon, peer) -> {
          boolean late = now - peer.lastHeard >= OVERDUE_AFTER * settings.heartbeatEveryMillis();
          if (late && !peer.noted && peer.state.isReachable()) {
            peer.noted = true;
            found.add(daemon);
          }
        });
    return found;
  }

  /** Returns the state of a daemon; DEAD for one never heard of. */
  public MemberState state(DaemonId daemon) {
    Peer peer = peers.get(daemon);
    return peer == null ? MemberState.DEAD : peer.state;
  }

  /** Returns the newest incarnation heard of a daemon; -1 for one never heard of. */
  public long incarnation(DaemonId daemon) {
    Peer peer = peers.get(daemon);
    return peer == null || !peer.heard ? -1 : peer.incarnation;
  }

  /** Returns the peers that may be given endpoints, watches or proposals. */
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

  /** Returns every daemon known, whatever its state. */
  public Set<DaemonId> known() {
    return new TreeSet<>(peers.keySet());
  }

  /**
   * Returns whether every known daemon is heard from. While one is not, it may be serving the own
   * endpoints as a deputy, so an eviction first reads the engine's state.
   */
  public boolean isEveryoneHeard() {
    return peers.values().stream().allMatch(peer -> peer.state.isReachable());
  }

  // A daemon that was frozen has read no heartbeats. Without this it would declare every peer dead
  // on waking, and send their work elsewhere. It is enough, since the peers' heartbeats of the next
  // seconds decide, and leases keep ownership safe meanwhile.
  private void forgivePause(long now) {
    long gap = now - lastTick;
    lastTick = now;
    if (gap <= settings.suspectAfterMillis()) {
      return;
    }
    peers.values().stream()
        .filter(peer -> peer.state.isReachable())
        .forEach(peer -> peer.lastHeard = Math.min(now, peer.lastHeard + gap));
  }

  private MemberState stateAfter(Peer peer, long silence) {
    if (peer.state == MemberState.DEAD
        || silence >= peer.hint.patience(settings.deadAfterMillis())) {
      return MemberState.DEAD;
    }
    if (silence >= peer.hint.patience(settings.suspectAfterMillis())) {
      return MemberState.SUSPECT;
    }
    return peer.state;
  }

  /** What is known of one peer. */
  private static final class Peer {
    private boolean heard;
    private long lastHeard;
    private long incarnation = Long.MIN_VALUE;
    private MemberState state = MemberState.DEAD;
    private HostHint hint = HostHint.LIVE;
    private boolean noted;
  }
}
