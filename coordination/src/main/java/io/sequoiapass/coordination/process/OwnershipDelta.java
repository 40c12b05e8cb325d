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
 * Difference between two versions of one data centre's ownership table.
 *
 * <pre>{@code
 * OwnershipDelta delta = OwnershipDelta.between(former, table);
 * Optional<OwnershipTable> same = delta.applyTo(former);
 * }</pre>
 *
 * <p>A version is the platform's revision of the object, so two tables of one version are equal,
 * and a delta applies only to a table of its base version. Instances are immutable and safe for use
 * by several threads.
 *
 * @param baseVersion the version that the delta applies to
 * @param version the version that results
 * @param epoch the epoch of the resulting version
 * @param changed the owners of endpoints that are new or have a new owner
 * @param removed the endpoints that the resulting table does not contain
 * @param incarnations the incarnations of owners that are new or changed
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
          "versions must be >= 0 and increasing, and epoch must be >= 0: "
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
   * @param base the older table
   * @param table the newer table
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
   * Returns the table that results from applying this delta; empty if its base version is not the
   * version of the given table.
   *
   * @param base the table to apply it to
   */
  public Optional<OwnershipTable> applyTo(OwnershipTable base) {
    if (base.version() != baseVersion) {
      return Optional.empty();
    }
    Map<EndpointId, DaemonId> owners = new TreeMap<>(base.owners());
    owners.putAll(changed);
    owners.keySet().removeAll(removed);
    Map<DaemonId, Long> mergedIncarnations = new TreeMap<>(base.incarnations());
    mergedIncarnations.putAll(incarnations);
    return Optional.of(OwnershipTable.of(version, epoch, owners, mergedIncarnations));
  }

  /**
   * Returns a single delta equivalent to this one followed by the next.
   *
   * @param next a delta whose base is this one's version
   */
  OwnershipDelta compose(OwnershipDelta next) {
    if (next.baseVersion != version) {
      throw new IllegalArgumentException(
          "base version of next is " + next.baseVersion + ", expected " + version);
    }
    Map<EndpointId, DaemonId> owners = new TreeMap<>(changed);
    owners.putAll(next.changed);
    owners.keySet().removeAll(next.removed);
    Set<EndpointId> allRemoved = new TreeSet<>(removed);
    allRemoved.addAll(next.removed);
    allRemoved.removeAll(next.changed.keySet());
    Map<DaemonId, Long> mergedIncarnations = new TreeMap<>(incarnations);
    mergedIncarnations.putAll(next.incarnations);
    return new OwnershipDelta(
        baseVersion, next.version, next.epoch, owners, allRemoved, mergedIncarnations);
  }
}
