package io.sequoiapass.daemon.process.ownership;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.process.MemberState;
import io.sequoiapass.coordination.process.MembershipChange;
import io.sequoiapass.coordination.process.PlatformReport;
import io.sequoiapass.daemon.connection.peer.PeerMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Writes this daemon's heartbeats and takes in those of the others in its data centre.
 *
 * <p>Guarded by the lock of the {@link OwnershipNode}.
 */
final class Heartbeats {

  /** A peer never heard from echoes no time of ours: older than any report that is believed. */
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final OwnershipDecisions decisions;
  private final Map<DaemonId, Long> echoes = new HashMap<>();
  private long renewalTold;

  Heartbeats(OwnershipDecisions decisions) {
    this.decisions = Objects.requireNonNull(decisions, "decisions");
  }

  /** Returns the heartbeat for a peer; see {@link PeerMessage.Heartbeat} for the parameters. */
  PeerMessage.Heartbeat write(
      long now, DaemonId peer, boolean draining, long configuration, int weightDemand) {
    boolean out = decisions.contact().isOut(now) && !decisions.planner().isWritePending();
    renewalTold = decisions.keeper().version();
    PlatformReport report =
        new PlatformReport(
            out,
            decisions.planner().table().version(),
            renewalTold,
            echoes.getOrDefault(peer, NEVER));
    return new PeerMessage.Heartbeat(
        decisions.keeper().incarnation(),
        draining,
        configuration,
        report,
        now,
        weightDemand,
        false);
  }

  /** Returns whether the lease was renewed after the last heartbeat. */
  boolean isDue() {
    return decisions.keeper().version() != renewalTold;
  }

  /** Takes in a heartbeat of a daemon in this data centre; returns what that changes. */
  Optional<MembershipChange> heard(long now, DaemonId peer, PeerMessage.Heartbeat beat) {
    MemberState said = beat.draining() ? MemberState.DRAINING : MemberState.ALIVE;
    decisions.keeper().peerReported(peer, beat.platform());
    decisions.observer().heartbeatCarried(now, peer, beat.platform().leaseVersion());
    echoes.merge(peer, beat.sentMs(), Math::max);
    return decisions.membership().heartbeatReceived(now, peer, beat.incarnation(), said);
  }
}
