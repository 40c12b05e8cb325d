package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The subsets of a coordinator's engines that the daemons prefer, as input of the placement of
 * loads.
 *
 * <p>The load it answers: adapters that one engine holds, so that the choice among holders cannot
 * prefer an open connection. A load for a daemon's request therefore prefers an engine to which
 * that daemon keeps connections, unless its concurrent requests use all engines anyway.
 *
 * <p>Not safe for use by several threads.
 */
final class SubsetTable {

  /** Beyond this number of daemons their subsets are computed again. */
  private static final int MAX_DAEMONS = 1_024;

  private final Set<EndpointId> engines;
  private final DaemonUsageTable usage;
  private final Map<DaemonId, EndpointSubset> subsets = new HashMap<>();
  private Set<EndpointId> ranked = Set.of();

  /**
   * Creates a table.
   *
   * @param engines the engines; a view that follows them
   * @param usage the daemons' reports
   */
  SubsetTable(Set<EndpointId> engines, DaemonUsageTable usage) {
    this.engines = engines;
    this.usage = usage;
  }

  /**
   * Returns the engines that a daemon prefers; empty if it uses all.
   *
   * @param daemon the daemon
   */
  Set<EndpointId> preferred(DaemonId daemon) {
    if (!ranked.equals(engines)) {
      ranked = Set.copyOf(engines);
      subsets.clear();
    }
    if (subsets.size() >= MAX_DAEMONS) {
      subsets.clear();
    }
    EndpointSubset subset =
        subsets.computeIfAbsent(daemon, any -> EndpointSubset.rank(daemon, ranked));
    int size = subset.size(usage.running(daemon), ranked.size());
    return size < ranked.size() ? subset.members(size, engine -> true) : Set.of();
  }
}
