package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The latest usage report of each daemon for the engines of one coordinator.
 *
 * <p>Not safe for use by several threads.
 */
final class DaemonUsageTable {

  private final Map<DaemonId, Map<EndpointId, EndpointUsage>> usage = new HashMap<>();
  private final Map<EndpointId, Load> sums = new HashMap<>();

  /** Takes in what a daemon does; what it does not name, it does no longer. */
  void usage(DaemonId daemon, List<EndpointUsage> activities) {
    Map<EndpointId, EndpointUsage> mine = new HashMap<>();
    activities.forEach(activity -> mine.put(activity.endpoint(), activity));
    usage.put(daemon, mine);
    sum();
  }

  /** Forgets a daemon whose link has closed. */
  void left(DaemonId daemon) {
    usage.remove(daemon);
    sum();
  }

  private void sum() {
    sums.clear();
    for (Map<EndpointId, EndpointUsage> mine : usage.values()) {
      mine.forEach((id, activity) -> sums.merge(id, activity.load(), Load::plus));
    }
  }

  /** Returns what all daemons together ask of an engine. */
  Load load(EndpointId endpoint) {
    return sums.getOrDefault(endpoint, Load.NONE);
  }

  /** Returns what all daemons but one ask of engines. */
  Map<EndpointId, Load> loadsWithout(DaemonId daemon, Collection<EndpointId> endpoints) {
    Map<EndpointId, EndpointUsage> mine = usage.getOrDefault(daemon, Map.of());
    Map<EndpointId, Load> loads = new TreeMap<>();
    for (EndpointId id : endpoints) {
      EndpointUsage own = mine.get(id);
      loads.put(id, own == null ? load(id) : load(id).minus(own.load()));
    }
    return loads;
  }

  /** Returns the adapters that requests at an engine use. */
  Set<AdapterName> inUse(EndpointId endpoint) {
    Set<AdapterName> inUse = new HashSet<>();
    for (Map<EndpointId, EndpointUsage> mine : usage.values()) {
      EndpointUsage activity = mine.get(endpoint);
      if (activity != null) {
        activity.uses().stream()
            .filter(use -> use.running() > 0)
            .forEach(use -> inUse.add(use.adapter()));
      }
    }
    return inUse;
  }
}
