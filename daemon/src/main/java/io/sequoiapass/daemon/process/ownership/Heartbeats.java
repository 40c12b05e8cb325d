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
 * Creates this daemon's heartbeats and processes those of the other daemons in its data centre.
 *
 * <p>Guarded by the lock of the {@link OwnershipNode}.
 */
final class Heartbeats {

  /**
   * Echoed send time for peers from which no heartbeat was received; older than any accepted
   * report.
   */
  private static final long NEVER_RECEIVED = Long.MIN_VALUE / 2;

  private final OwnershipDecisions decisions;
  private final Map<DaemonId, Long> echoes = new HashMap<>();
  private long lastSentLeaseVersion;

  Heartbeats(OwnershipDecisions decisions) {
    this.decisions = Objects.requireNonNull(decisions, "decisions");
  }

  /** Returns a heartbeat for a peer; see {@link PeerMessage.Heartbeat} for the parameters. */
  PeerMessage.Heartbeat create(
      long now, DaemonId peer, boolean draining, long configuration, int weightDemand) {
    boolean platformOut =
        decisions.connectivity().isOut(now) && !decisions.planner().isWritePending();
    lastSentLeaseVersion = decisions.leaseManager().version();
    PlatformReport report =
        new PlatformReport(
            platformOut,
            decisions.planner().table().version(),
            lastSentLeaseVersion,
            echoes.getOrDefault(peer, NEVER_RECEIVED));
    return new PeerMessage.Heartbeat(
        decisions.leaseManager().incarnation(),
        draining,
        configuration,
        report,
        now,
        weightDemand,
        false);
  }

  /** Returns whether the lease was renewed since the last heartbeat. */
  boolean isDue() {
    return decisions.leaseManager().version() != lastSentLeaseVersion;
  }

  /**
   * Processes a heartbeat of a daemon in this data centre; returns the resulting membership change,
   * if any.
   */
  Optional<MembershipChange> received(long now, DaemonId peer, PeerMessage.Heartbeat beat) {
    MemberState reported = beat.draining() ? MemberState.DRAINING : MemberState.ALIVE;
    decisions.leaseManager().peerReported(peer, beat.platform());
    decisions.observer().leaseVersionReceived(now, peer, beat.platform().leaseVersion());
    echoes.merge(peer, beat.sentMs(), Math::max);
    return decisions.membership().heartbeatReceived(now, peer, beat.incarnation(), reported);
  }
}
