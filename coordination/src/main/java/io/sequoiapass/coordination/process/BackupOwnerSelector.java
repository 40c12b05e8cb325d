package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Selects the daemon that serves an endpoint, including while its owner is dead and the platform is
 * out, so that no new owner can be recorded.
 *
 * <pre>{@code
 * BackupOwnerSelector selector = BackupOwnerSelector.create(self);
 * Optional<DaemonId> server =
 *     selector.servingDaemon(endpoint, table, membership, contact.isOut(now));
 * }</pre>
 *
 * <p>Daemons with different views of the membership may select different backup owners, and a
 * backup owner may serve in place of an owner that is only partitioned. Both are safe: backup
 * owners send no orders, and an owner that does not receive heartbeats from every peer reads the
 * engine's state before it evicts ({@link Membership#isEveryPeerReachable}). Instances are
 * immutable and safe for use by several threads; the membership passed to them is not.
 */
public final class BackupOwnerSelector {

  private final DaemonId self;

  private BackupOwnerSelector(DaemonId self) {
    this.self = Objects.requireNonNull(self, "self");
  }

  /**
   * Returns a selector.
   *
   * @param self the daemon
   */
  public static BackupOwnerSelector create(DaemonId self) {
    return new BackupOwnerSelector(self);
  }

  /**
   * Returns the daemon that serves an endpoint: its owner, or its backup owner during an outage.
   *
   * @param endpoint the endpoint
   * @param table the newest ownership table that this daemon holds
   * @param membership the daemon's view of its peers
   * @param platformOut whether the platform is out for the daemon
   */
  public Optional<DaemonId> servingDaemon(
      EndpointId endpoint, OwnershipTable table, Membership membership, boolean platformOut) {
    Optional<DaemonId> owner = table.owner(endpoint);
    boolean ownerless = owner.isEmpty() || isDead(owner.get(), membership);
    if (!ownerless || !platformOut) {
      return owner;
    }
    Set<DaemonId> alive = new TreeSet<>(membership.candidates());
    alive.add(self);
    return RendezvousHash.first(endpoint.value(), alive);
  }

  /** Returns the role of this daemon for an endpoint. */
  public ServingRole role(
      EndpointId endpoint, OwnershipTable table, Membership membership, boolean platformOut) {
    if (table.owner(endpoint).filter(self::equals).isPresent()) {
      return ServingRole.OWNER;
    }
    Optional<DaemonId> server = servingDaemon(endpoint, table, membership, platformOut);
    return server.filter(self::equals).isPresent() ? ServingRole.BACKUP_OWNER : ServingRole.NONE;
  }

  private boolean isDead(DaemonId owner, Membership membership) {
    return !owner.equals(self) && membership.state(owner) == MemberState.DEAD;
  }
}
