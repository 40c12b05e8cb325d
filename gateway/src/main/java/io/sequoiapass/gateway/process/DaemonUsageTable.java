package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The latest usage report of each daemon for the engines of one coordinator, with totals for each
 * engine.
 *
 * <pre>{@code
 * usage.update(daemon, report.usages());
 * usage.load(engine);    // of all daemons
 * usage.inUse(engine);   // adapters with running requests
 * }</pre>
 *
 * <p>Totals are adjusted by the difference of two reports of one daemon, so that the cost of a
 * report does not depend on the number of daemons. Not safe for use by several threads.
 */
final class DaemonUsageTable {

  private final Map<DaemonId, Map<EndpointId, EndpointUsage>> reports = new HashMap<>();
  private final Map<EndpointId, Total> totals = new HashMap<>();

  /** The usage of one engine by all daemons. */
  private static final class Total {
    private Load load = Load.NONE;
    private final Map<AdapterName, Integer> running = new HashMap<>();

    private void add(EndpointUsage usage) {
      load = load.plus(usage.load());
      for (EndpointUsage.AdapterUse use : usage.uses()) {
        if (use.running() > 0) {
          running.merge(use.adapter(), use.running(), Integer::sum);
        }
      }
    }

    private boolean isEmpty() {
      return running.isEmpty() && load.equals(Load.NONE);
    }

    private void subtract(EndpointUsage usage) {
      load = load.minus(usage.load());
      for (EndpointUsage.AdapterUse use : usage.uses()) {
        running.computeIfPresent(
            use.adapter(),
            (adapter, count) ->
                count > use.running() ? Integer.valueOf(count - use.running()) : null);
      }
    }
  }

  /** Replaces a daemon's report; the daemon does not use engines that are missing from it. */
  void update(DaemonId daemon, List<EndpointUsage> usages) {
    remove(daemon);
    Map<EndpointId, EndpointUsage> report = new HashMap<>();
    usages.forEach(usage -> report.put(usage.endpoint(), usage));
    reports.put(daemon, report);
    report.forEach((endpoint, usage) -> total(endpoint).add(usage));
  }

  /** Removes a daemon whose link has closed. */
  void remove(DaemonId daemon) {
    Map<EndpointId, EndpointUsage> report = reports.remove(daemon);
    if (report != null) {
      report.forEach(this::subtract);
    }
  }

  private void subtract(EndpointId endpoint, EndpointUsage usage) {
    Total total = total(endpoint);
    total.subtract(usage);
    if (total.isEmpty()) {
      totals.remove(endpoint);
    }
  }

  private Total total(EndpointId endpoint) {
    return totals.computeIfAbsent(endpoint, any -> new Total());
  }

  /** Returns how many requests a daemon runs at all engines. */
  int running(DaemonId daemon) {
    return reports.getOrDefault(daemon, Map.of()).values().stream()
        .mapToInt(one -> one.load().running())
        .sum();
  }

  /** Returns the load of all daemons at an engine. */
  Load load(EndpointId endpoint) {
    Total total = totals.get(endpoint);
    return total == null ? Load.NONE : total.load;
  }

  /** Returns the load of all daemons at each engine that has any. */
  Map<EndpointId, Load> loads() {
    Map<EndpointId, Load> loads = new HashMap<>();
    totals.forEach(
        (id, total) -> {
          if (!total.load.equals(Load.NONE)) {
            loads.put(id, total.load);
          }
        });
    return loads;
  }

  /** Returns the adapters with running requests at an engine; an unmodifiable view. */
  Set<AdapterName> inUse(EndpointId endpoint) {
    Total total = totals.get(endpoint);
    return total == null ? Set.of() : Collections.unmodifiableSet(total.running.keySet());
  }
}
