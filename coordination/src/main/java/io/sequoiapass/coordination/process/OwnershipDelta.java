package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Is what differs between two versions of one data centre's ownership table.
 *
 * <pre>{@code
 * OwnershipDelta delta = OwnershipDelta.between(former, table);
 * Optional<OwnershipTable> same = delta.applyTo(former);
 * }</pre>
 *
 * <p>A version is the platform's revision of the object, so two tables of one version are equal,
 * and a delta fits exactly the tables of its base version. Instances are immutable and safe for use
 * by several threads.
 *
 * @param baseVersion the version that it leads from
 * @param version the version that it leads to
 * @param epoch the epoch of that version
 * @param changed the owners of endpoints that are new or changed hands
 * @param removed the endpoints that have no owner any more
 * @param incarnations the processes that are new or changed
 */
public record OwnershipDelta(
    long baseVersion,
    long version,
    long epoch,
    Map<EndpointId, DaemonId> changed,
    Set<EndpointId> removed,
    Map<DaemonId, Long> incarnations) {

  /** Checks the versions and copies the collections. */
  public OwnershipDelta {
    if (baseVersion < 0 || version <= baseVersion || epoch < 0) {
      throw new IllegalArgumentException(
          "versions must grow from >= 0 and epoch be >= 0: "
              + baseVersion
              + " to "
              + version
              + ", epoch "
              + epoch);
    }
    changed = Collections.unmodifiableMap(new TreeMap<>(changed));
    removed = Collections.unmodifiableSet(new TreeSet<>(removed));
    incarnations = Collections.unmodifiableMap(new TreeMap<>(incarnations));
  }

  /**
   * Returns the delta from one table to a newer one.
   *
   * @param base the older
   * @param table the newer
   */
  public static OwnershipDelta between(OwnershipTable base, OwnershipTable table) {
    Map<EndpointId, DaemonId> changed = new TreeMap<>(table.owners());
    changed.entrySet().removeAll(base.owners().entrySet());
    Set<EndpointId> removed = new TreeSet<>(base.owners().keySet());
    removed.removeAll(table.owners().keySet());
    Map<DaemonId, Long> incarnations = new TreeMap<>(table.incarnations());
    incarnations.entrySet().removeAll(base.incarnations().entrySet());
    return new OwnershipDelta(
        base.version(), table.version(), table.epoch(), changed, removed, incarnations);
  }

  /**
   * Returns the table that this delta leads to; empty if it does not lead from the table given.
   *
   * @param base the table to change
   */
  public Optional<OwnershipTable> applyTo(OwnershipTable base) {
    if (base.version() != baseVersion) {
      return Optional.empty();
    }
    Map<EndpointId, DaemonId> owners = new TreeMap<>(base.owners());
    owners.putAll(changed);
    owners.keySet().removeAll(removed);
    Map<DaemonId, Long> named = new TreeMap<>(base.incarnations());
    named.putAll(incarnations);
    return Optional.of(OwnershipTable.of(version, epoch, owners, named));
  }

  /**
   * Returns one delta for this and the next.
   *
   * @param next a delta whose base is this one's version
   */
  OwnershipDelta then(OwnershipDelta next) {
    if (next.baseVersion != version) {
      throw new IllegalArgumentException(
          "next leads from " + next.baseVersion + ", not from " + version);
    }
    Map<EndpointId, DaemonId> owners = new TreeMap<>(changed);
    owners.putAll(next.changed);
    owners.keySet().removeAll(next.removed);
    Set<EndpointId> gone = new TreeSet<>(removed);
    gone.addAll(next.removed);
    gone.removeAll(next.changed.keySet());
    Map<DaemonId, Long> named = new TreeMap<>(incarnations);
    named.putAll(next.incarnations);
    return new OwnershipDelta(baseVersion, next.version, next.epoch, owners, gone, named);
  }
}
