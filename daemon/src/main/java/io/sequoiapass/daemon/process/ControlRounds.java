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
 * Lets time pass for the control parts of a daemon, and sends its heartbeats.
 *
 * <p>Each round is called by one timer; {@link #reachesOwners} may be asked by any thread.
 */
final class ControlRounds {

  /** Heartbeats to other data centres are this much rarer: they only show changed tables. */
  private static final int REMOTE_HEARTBEATS = 4;

  /** A daemon whose peers are dead, or that starts alone in an outage, serves what it can. */
  private static final long REACH_WAIT_MS = 5_000;

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

  /** Drives configuration, ownership, ledger and stop. */
  void control() {
    configuration.tick(ownership.alive());
    presets.accept(configuration.preset());
    ownership.tick(configuration.snapshot(), configuration.preset().allowsPlannedMoves());
    List<EndpointRecord> now = ownership.served();
    if (now != served) {
      served = now;
      owner.owns(now);
    }
    owner.pauses(ownership.handingOver());
    owner.apply(configuration.preset());
    // A fresh daemon that shows readiness before it knows the owners and is connected to them
    // refuses what the balancer sends it at once. Both come within moments; a peer that is dead
    // does not.
    reachesOwners |=
        peers.reaches(ownership.owners()) || clock.millis() - startedAt >= REACH_WAIT_MS;
    if (ownership.isHeartbeatDue()) {
      peers.neighbours().forEach(this::beat);
    }
    ledger.tick();
    stop.tick();
  }

  /** Sends heartbeats. */
  void heartbeat() {
    peers.neighbours().forEach(this::beat);
    if (heartbeats++ % REMOTE_HEARTBEATS == 0) {
      peers.remotes().forEach(this::beat);
    }
  }

  private void beat(DaemonId peer) {
    peers.send(
        peer, ownership.heartbeat(peer, configuration.root(), 0).cutOff(configuration.isCutOff()));
  }

  /** Returns whether the owners of endpoints were all connected once, or were waited for. */
  boolean reachesOwners() {
    return reachesOwners;
  }
}
