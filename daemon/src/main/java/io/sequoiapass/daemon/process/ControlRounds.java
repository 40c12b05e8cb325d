package io.sequoiapass.daemon.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import io.sequoiapass.coordination.version.Preset;
import io.sequoiapass.daemon.process.ledger.LedgerNode;
import io.sequoiapass.daemon.process.owner.Owner;
import io.sequoiapass.daemon.process.ownership.OwnershipNode;
import io.sequoiapass.daemon.version.ConfigurationNode;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * Timer tasks that drive the control plane of a daemon and send its heartbeats.
 *
 * <p>Each task is called by one timer; {@link #reachesOwners} may be called by any thread.
 */
final class ControlRounds {

  /** Other data centres get every fourth heartbeat: there it only announces changed tables. */
  private static final int REMOTE_HEARTBEAT_DIVISOR = 4;

  /**
   * After this time the daemon is ready without connections to all owners, so that it serves what
   * it can if peers are dead or if it starts alone during an outage.
   */
  private static final long OWNERS_CONNECT_TIMEOUT_MS = 5_000;

  private final MillisClock clock;
  private final ConfigurationNode configuration;
  private final OwnershipNode ownership;
  private final Owner owner;
  private final PeerNode peers;
  private final LedgerNode ledger;
  private final PlannedStop stop;
  private final Consumer<Preset> presets;
  private final long startedAt;
  private volatile boolean reachesOwners;
  private List<EndpointRecord> served = List.of();
  private int heartbeats;

  ControlRounds(
      MillisClock clock,
      ConfigurationNode configuration,
      OwnershipNode ownership,
      Owner owner,
      PeerNode peers,
      LedgerNode ledger,
      PlannedStop stop,
      Consumer<Preset> presets) {
    this.clock = Objects.requireNonNull(clock, "clock");
    this.configuration = Objects.requireNonNull(configuration, "configuration");
    this.ownership = Objects.requireNonNull(ownership, "ownership");
    this.owner = Objects.requireNonNull(owner, "owner");
    this.peers = Objects.requireNonNull(peers, "peers");
    this.ledger = Objects.requireNonNull(ledger, "ledger");
    this.stop = Objects.requireNonNull(stop, "stop");
    this.presets = Objects.requireNonNull(presets, "presets");
    this.startedAt = clock.millis();
  }

  /** Advances configuration, ownership, ledger and planned stop. */
  void control() {
    configuration.tick(ownership.alive());
    presets.accept(configuration.preset());
    ownership.tick(configuration.snapshot(), configuration.preset().allowsPlannedMoves());
    List<EndpointRecord> now = ownership.served();
    if (now != served) {
      served = now;
      owner.updateOwned(now);
    }
    owner.updateHandovers(ownership.handingOver());
    owner.apply(configuration.preset());
    // Ready before the owners are known and connected, a new daemon would refuse the requests that
    // the load balancer sends. Both take moments, except for a dead peer; hence the time limit.
    reachesOwners |=
        peers.reaches(ownership.owners())
            || clock.millis() - startedAt >= OWNERS_CONNECT_TIMEOUT_MS;
    if (ownership.isHeartbeatDue()) {
      peers.neighbours().forEach(this::sendHeartbeat);
    }
    ledger.tick();
    stop.tick();
  }

  /** Sends heartbeats to the peers; to other data centres at a lower rate. */
  void heartbeat() {
    peers.neighbours().forEach(this::sendHeartbeat);
    if (heartbeats++ % REMOTE_HEARTBEAT_DIVISOR == 0) {
      peers.remotes().forEach(this::sendHeartbeat);
    }
  }

  private void sendHeartbeat(DaemonId peer) {
    peers.send(
        peer,
        ownership.heartbeat(peer, configuration.root(), 0).withCutOff(configuration.isCutOff()));
  }

  /** Returns whether all owners have been connected at the same time, or the wait has timed out. */
  boolean reachesOwners() {
    return reachesOwners;
  }
}
