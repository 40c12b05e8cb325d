package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds who serves an endpoint, also when its owner died and the platform cannot name another.
 *
 * <pre>{@code
 * DeputyRule rule = DeputyRule.create(self);
 * Optional<DaemonId> server = rule.server(endpoint, table, membership, contact.isOut(now));
 * }</pre>
 *
 * <p>Daemons that see different members may name different deputies, and a deputy may stand in for
 * an owner that is only cut off. Neither harms: deputies give no orders, and an owner that does not
 * hear everyone reads the engine's state before it evicts ({@link Membership#isEveryoneHeard}).
 * Instances are immutable and safe for use by several threads; the membership they look at is not.
 */
public final class DeputyRule {

  private final DaemonId self;

  private DeputyRule(DaemonId self) {
    this.self = Objects.requireNonNull(self, "self");
  }

  /**
   * Returns a rule.
   *
   * @param self the daemon
   */
  public static DeputyRule create(DaemonId self) {
    return new DeputyRule(self);
  }

  /**
   * Returns the daemon that serves an endpoint: its owner, or its deputy during an outage.
   *
   * @param endpoint the endpoint
   * @param table the newest known table
   * @param membership the daemon's view of its peers
   * @param platformOut whether the platform is out for the daemon
   */
  public Optional<DaemonId> server(
      EndpointId endpoint, OwnershipTable table, Membership membership, boolean platformOut) {
    Optional<DaemonId> owner = table.owner(endpoint);
    boolean orphaned = owner.isEmpty() || isDead(owner.get(), membership);
    if (!orphaned || !platformOut) {
      return owner;
    }
    Set<DaemonId> alive = new TreeSet<>(membership.candidates());
    alive.add(self);
    return RendezvousHash.first(endpoint.value(), alive);
  }

  /** Returns what the daemon itself is to an endpoint. */
  public ServingRole role(
      EndpointId endpoint, OwnershipTable table, Membership membership, boolean platformOut) {
    if (table.owner(endpoint).filter(self::equals).isPresent()) {
      return ServingRole.OWNER;
    }
    Optional<DaemonId> server = server(endpoint, table, membership, platformOut);
    return server.filter(self::equals).isPresent() ? ServingRole.DEPUTY : ServingRole.NONE;
  }

  private boolean isDead(DaemonId owner, Membership membership) {
    return !owner.equals(self) && membership.state(owner) == MemberState.DEAD;
  }
}
