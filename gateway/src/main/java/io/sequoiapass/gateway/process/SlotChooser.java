package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.AdapterVersions;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the engine slot for a load: which engines can take it, at what cost, and what is evicted.
 *
 * <p>Costs are in milliseconds. Reloading an adapter from an engine's own memory is cheap compared
 * with a transfer from the store, and evicting an adapter that is requested again makes its next
 * caller wait. Not safe for use by several threads.
 */
final class SlotChooser {

  /** Shortest time from the last reported use of an adapter to its eviction, in milliseconds. */
  private static final long MIN_IDLE_MS = 60;

  /** Time from the end of a load to the eviction of an unused adapter, in usage reports. */
  private static final long FIRST_USE_REPORTS = 2;

  /** Cost of each load in progress at the same engine, in milliseconds. */
  private static final double LOAD_IN_PROGRESS_COST_MS = 60;

  /** Cost of evicting an adapter with a demand of one request, in milliseconds. */
  private static final double EVICTION_COST_MS = 25;

  /**
   * Cost of a load from the store rather than from an engine's own memory in addition to its time,
   * in milliseconds. A transfer is billed, and slows down all others.
   */
  private static final double TRANSFER_COST_MS = 250;

  private final AdapterVersions versions;
  private final AdapterDemand demand;
  private final DaemonUsageTable usage;
  private final LoadTracker loads;
  private final SubsetTable subsets;
  private long reportIntervalMs = BroadcastInterval.ROUND_MS;

  SlotChooser(
      AdapterVersions versions,
      AdapterDemand demand,
      DaemonUsageTable usage,
      LoadTracker loads,
      SubsetTable subsets) {
    this.versions = versions;
    this.demand = demand;
    this.usage = usage;
    this.loads = loads;
    this.subsets = subsets;
  }

  /** Returns whether an adapter can be loaded at an engine now. */
  boolean canTake(PlannedEndpoint endpoint, AdapterName adapter, long now) {
    boolean able =
        endpoint.synced
            && !endpoint.entry.leaving()
            && endpoint.models.contains(adapter.model())
            && endpoint.loadsInProgress(now) < PlacementPlan.MAX_LOADS_IN_PROGRESS;
    if (!able) {
      return false;
    }
    // An older copy of the same adapter is replaced in its own slot.
    PlannedEndpoint.Copy own = endpoint.copies.get(adapter);
    if (own != null) {
      return own.state == PlannedEndpoint.State.HELD && own.version < versions.newest(adapter);
    }
    return hasFreeSlot(endpoint) || victim(endpoint, now).isPresent();
  }

  /** Returns whether an engine has a free slot. */
  static boolean hasFreeSlot(PlannedEndpoint endpoint) {
    return endpoint.copies.size() < endpoint.engine.adapterSlots();
  }

  /** Returns the cheapest engine that can take a load; empty if there is none. */
  Optional<PlannedEndpoint> cheapest(
      Collection<PlannedEndpoint> endpoints, LoadNeed need, long now) {
    Set<EndpointId> preferred = need.daemon().map(subsets::preferred).orElse(Set.of());
    return endpoints.stream()
        .filter(endpoint -> !need.excluded().contains(endpoint.entry.endpoint()))
        .filter(endpoint -> canTake(endpoint, need.adapter(), now))
        .min(
            Comparator.comparingDouble(
                endpoint ->
                    cost(endpoint, need.adapter(), need.size(), now)
                        + connectionMs(endpoint, preferred)));
  }

  private static double connectionMs(PlannedEndpoint endpoint, Set<EndpointId> preferred) {
    boolean open = preferred.isEmpty() || preferred.contains(endpoint.entry.endpoint());
    return open ? 0 : ConnectionCost.OUTSIDE_MS;
  }

  /** Returns the cost of a load and its request at an engine, in milliseconds. */
  private double cost(PlannedEndpoint endpoint, AdapterName adapter, RequestSize size, long now) {
    double evictionMs =
        hasFreeSlot(endpoint)
            ? 0
            : victim(endpoint, now)
                .map(name -> EVICTION_COST_MS * demand.weighted(name, now))
                .orElse(0.0);
    Load load = usage.load(endpoint.entry.endpoint());
    return EngineCost.ms(load, size.promptTokens(), size.outputTokens(), endpoint.tokensPerMs)
        + endpoint.loadsInProgress(now) * LOAD_IN_PROGRESS_COST_MS
        + evictionMs
        + (endpoint.cachedAdapters.isCached(adapter) ? 0 : loads.storeMs(now) + TRANSFER_COST_MS);
  }

  /**
   * Returns the adapter to evict: an outdated one, otherwise the one with the least weighted
   * demand.
   */
  Optional<AdapterName> victim(PlannedEndpoint endpoint, long now) {
    Set<AdapterName> inUse = usage.inUse(endpoint.entry.endpoint());
    return endpoint.copies.entrySet().stream()
        .filter(entry -> entry.getValue().state == PlannedEndpoint.State.HELD)
        .filter(entry -> !inUse.contains(entry.getKey()))
        .filter(entry -> isIdle(entry.getValue(), now))
        .min(
            Comparator.comparingDouble(
                entry ->
                    entry.getValue().version < versions.newest(entry.getKey())
                        ? -1
                        : demand.weighted(entry.getKey(), now)))
        .map(Map.Entry::getKey);
  }

  /** Sets the time between two usage reports of one daemon, in milliseconds. */
  void setReportInterval(long intervalMs) {
    reportIntervalMs = intervalMs;
  }

  /**
   * Returns whether no request is likely to be in transit to a copy. Requests sent since the last
   * report of a daemon are unknown here, and would be refused if the adapter were evicted.
   */
  private boolean isIdle(PlannedEndpoint.Copy copy, long now) {
    if (copy.used) {
      long unreportedMs = reportIntervalMs - BroadcastInterval.ROUND_MS;
      return now - copy.lastUsed >= MIN_IDLE_MS + unreportedMs;
    }
    return now - copy.readyAt >= FIRST_USE_REPORTS * reportIntervalMs;
  }
}
