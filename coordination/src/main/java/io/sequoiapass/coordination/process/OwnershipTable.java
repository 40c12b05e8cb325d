package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.FencingNumber;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Tells which daemon process owns each endpoint of one data centre, at one version of the
 * platform's object.
 *
 * <pre>{@code
 * OwnershipTable table = OwnershipTable.of(version, epoch, owners, incarnations);
 * Optional<DaemonId> owner = table.owner(endpoint);
 * FencingNumber fence = table.fence();
 * }</pre>
 *
 * <p>The process is named because a frozen one that was replaced under its name learns newer tables
 * from its peers, and would order under the same fencing number as its successor.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class OwnershipTable {

  /** The table before any was written. */
  public static final OwnershipTable EMPTY = new OwnershipTable(0, 0, Map.of(), Map.of());

  private final long version;
  private final long epoch;
  private final Map<EndpointId, DaemonId> owners;
  private final Map<DaemonId, Long> incarnations;

  /** Asked each round; counted from the owners, it would cost a pass over all endpoints each. */
  private final Map<DaemonId, Set<EndpointId>> shares = new TreeMap<>();

  private OwnershipTable(
      long version,
      long epoch,
      Map<EndpointId, DaemonId> owners,
      Map<DaemonId, Long> incarnations) {
    this.version = version;
    this.epoch = epoch;
    this.owners = Collections.unmodifiableMap(new TreeMap<>(owners));
    this.owners.forEach(
        (endpoint, owner) ->
            shares.computeIfAbsent(owner, daemon -> new TreeSet<>()).add(endpoint));
    Map<DaemonId, Long> named = new TreeMap<>(incarnations);
    named.keySet().retainAll(shares.keySet());
    this.incarnations = Collections.unmodifiableMap(named);
  }

  /**
   * Returns a table.
   *
   * @param version the object's version on the platform; 0 for one not written yet
   * @param epoch counts the changes of the table
   * @param owners the owner of each endpoint
   * @param incarnations which process of each owner
   */
  public static OwnershipTable of(
      long version,
      long epoch,
      Map<EndpointId, DaemonId> owners,
      Map<DaemonId, Long> incarnations) {
    if (version < 0 || epoch < 0) {
      throw new IllegalArgumentException(
          "version and epoch must be >= 0: " + version + ", " + epoch);
    }
    return new OwnershipTable(version, epoch, owners, incarnations);
  }

  /** Returns the object's version on the platform. */
  public long version() {
    return version;
  }

  /** Returns the count of the table's changes. */
  public long epoch() {
    return epoch;
  }

  /** Returns the number that every order under this table carries. */
  public FencingNumber fence() {
    return new FencingNumber(version);
  }

  /** Returns the owner of each endpoint. */
  public Map<EndpointId, DaemonId> owners() {
    return owners;
  }

  /** Returns which process of each owner the table names. */
  public Map<DaemonId, Long> incarnations() {
    return incarnations;
  }

  /** Returns the number of the process that owns for a daemon; -1 for one that owns nothing. */
  public long incarnation(DaemonId daemon) {
    return incarnations.getOrDefault(daemon, -1L);
  }

  /** Returns the owner of an endpoint, if it has one. */
  public Optional<DaemonId> owner(EndpointId endpoint) {
    return Optional.ofNullable(owners.get(endpoint));
  }

  /** Returns the daemons that own something. */
  public Set<DaemonId> daemons() {
    return new TreeSet<>(shares.keySet());
  }

  /** Returns the endpoints of a daemon. */
  public Set<EndpointId> ownedBy(DaemonId daemon) {
    return new TreeSet<>(shares.getOrDefault(daemon, Set.of()));
  }

  /** Returns how many endpoints a daemon owns. */
  public int countOf(DaemonId daemon) {
    return shares.getOrDefault(daemon, Set.of()).size();
  }

  /**
   * Returns the endpoints that a daemon owns here and did not own in a former table.
   *
   * @param daemon the daemon
   * @param former the former table
   */
  public Set<EndpointId> gainedBy(DaemonId daemon, OwnershipTable former) {
    Set<EndpointId> gained = ownedBy(daemon);
    gained.removeAll(former.ownedBy(daemon));
    return gained;
  }

  /** Returns this table with other owners for some endpoints, one epoch on and not written yet. */
  OwnershipTable next(
      Map<EndpointId, DaemonId> changed,
      Collection<EndpointId> removed,
      Map<DaemonId, Long> processes) {
    Map<EndpointId, DaemonId> next = new TreeMap<>(owners);
    next.putAll(changed);
    next.keySet().removeAll(new TreeSet<>(removed));
    Map<DaemonId, Long> named = new TreeMap<>(incarnations);
    processes.forEach((daemon, number) -> named.merge(daemon, number, Math::max));
    return new OwnershipTable(0, epoch + 1, next, named);
  }

  /** Returns this table as the platform stored it. */
  OwnershipTable storedAs(long storedVersion) {
    return new OwnershipTable(storedVersion, epoch, owners, incarnations);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof OwnershipTable table
        && version == table.version
        && epoch == table.epoch
        && owners.equals(table.owners)
        && incarnations.equals(table.incarnations);
  }

  @Override
  public int hashCode() {
    return Objects.hash(version, epoch, owners, incarnations);
  }

  @Override
  public String toString() {
    return "OwnershipTable{version=" + version + ", epoch=" + epoch + ", owners=" + owners + "}";
  }
}
