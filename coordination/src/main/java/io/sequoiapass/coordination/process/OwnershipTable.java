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
 * Owners of the endpoints of one data centre, at one version of the platform's object.
 *
 * <pre>{@code
 * OwnershipTable table = OwnershipTable.of(version, epoch, owners, incarnations);
 * Optional<DaemonId> owner = table.owner(endpoint);
 * FencingNumber number = table.fence();
 * }</pre>
 *
 * <p>The table records the incarnation of each owner. A frozen process that was replaced by a new
 * one with the same daemon name receives newer tables from its peers, and would otherwise send
 * orders with the same fencing number as its successor.
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class OwnershipTable {

  /** The table before the first one is written. */
  public static final OwnershipTable EMPTY = new OwnershipTable(0, 0, Map.of(), Map.of());

  private final long version;
  private final long epoch;
  private final Map<EndpointId, DaemonId> owners;
  private final Map<DaemonId, Long> incarnations;

  /**
   * Index of the owners, used in each control round; without it, each lookup would scan all
   * endpoints.
   */
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
    Map<DaemonId, Long> merged = new TreeMap<>(incarnations);
    merged.keySet().retainAll(shares.keySet());
    this.incarnations = Collections.unmodifiableMap(merged);
  }

  /**
   * Returns a table.
   *
   * @param version the object's version on the platform; 0 if it is not written yet
   * @param epoch the count of changes of the table
   * @param owners the owner of each endpoint
   * @param incarnations the incarnation of each owner
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

  /** Returns the count of changes of the table. */
  public long epoch() {
    return epoch;
  }

  /** Returns the fencing number of orders sent under this table. */
  public FencingNumber fence() {
    return new FencingNumber(version);
  }

  /** Returns the owner of each endpoint. */
  public Map<EndpointId, DaemonId> owners() {
    return owners;
  }

  /** Returns the incarnation of each owner. */
  public Map<DaemonId, Long> incarnations() {
    return incarnations;
  }

  /** Returns the incarnation of an owner; -1 for a daemon that owns no endpoint. */
  public long incarnation(DaemonId daemon) {
    return incarnations.getOrDefault(daemon, -1L);
  }

  /** Returns the owner of an endpoint, if it has one. */
  public Optional<DaemonId> owner(EndpointId endpoint) {
    return Optional.ofNullable(owners.get(endpoint));
  }

  /** Returns the daemons that own at least one endpoint. */
  public Set<DaemonId> daemons() {
    return new TreeSet<>(shares.keySet());
  }

  /** Returns the endpoints that a daemon owns. */
  public Set<EndpointId> ownedBy(DaemonId daemon) {
    return new TreeSet<>(shares.getOrDefault(daemon, Set.of()));
  }

  /** Returns the number of endpoints that a daemon owns. */
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

  /** Returns a changed copy of this table with the next epoch, not written yet. */
  OwnershipTable next(
      Map<EndpointId, DaemonId> changed,
      Collection<EndpointId> removed,
      Map<DaemonId, Long> newIncarnations) {
    Map<EndpointId, DaemonId> next = new TreeMap<>(owners);
    next.putAll(changed);
    next.keySet().removeAll(new TreeSet<>(removed));
    Map<DaemonId, Long> merged = new TreeMap<>(incarnations);
    newIncarnations.forEach((daemon, incarnation) -> merged.merge(daemon, incarnation, Math::max));
    return new OwnershipTable(0, epoch + 1, next, merged);
  }

  /** Returns this table with the version under which the platform stored it. */
  OwnershipTable withVersion(long storedVersion) {
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
