package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.gateway.connection.LinkMessage.Placement;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.EndpointOrder;
import io.sequoiapass.gateway.spi.EndpointReport;
import io.sequoiapass.gateway.spi.OrderResult;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.EngineSpec;
import io.sequoiapass.gateway.version.ModelSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides what the engines of one data centre hold: where an adapter is loaded, what is evicted for
 * it, and in which order the orders are sent.
 *
 * <pre>{@code
 * LoadReply reply = plan.request(need, false, now);
 * plan.nextOrder(endpoint, daemon, epoch, now).ifPresent(order -> ...);
 * }</pre>
 *
 * <p>Every order carries the number of orders that the engine has accepted, so that the engine
 * refuses a delayed one; otherwise it could load more adapters than it has slots and would crash.
 * Not safe for use by several threads.
 */
final class PlacementPlan {

  /** Largest number of concurrent loads at one engine; the engine refuses more. */
  static final int MAX_LOADS_IN_PROGRESS = 4;

  /**
   * Time after an order until an engine's report includes it, in milliseconds; reports are a few
   * hundred milliseconds old.
   */
  private static final long REPORT_LAG_MS = 350;

  /**
   * Interval between report requests to an engine that loads a base model, in milliseconds. An
   * engine that has the weights on its own disk loads them in a fraction of the time of a load from
   * the store, and its slots stay unused until the load is known to be complete.
   */
  private static final long MODEL_POLL_MS = 400;

  /** Number of times that an unanswered order is repeated before a report is requested. */
  private static final int MAX_UNANSWERED_ORDERS = 3;

  /**
   * Largest age of an engine's entry, in milliseconds: two of its write intervals of about a
   * second.
   */
  private static final long ENTRY_LAG_MS = 2_500;

  private final AdapterVersions versions;
  private final AdapterDemand demand = new AdapterDemand();
  private final Map<EndpointId, PlannedEndpoint> endpoints = new TreeMap<>();
  private final DaemonUsageTable usage = new DaemonUsageTable();
  private final PlacementChanges changes = new PlacementChanges();
  private final LoadTracker loads;
  private final SlotChooser slotChooser;
  private final ModelLoadLimiter modelLoads;

  /**
   * Creates a plan without engines.
   *
   * @param versions the newest versions
   * @param modelLoads limits the loads of base models
   * @param loadTime the estimates of load times
   */
  PlacementPlan(AdapterVersions versions, ModelLoadLimiter modelLoads, LoadTime loadTime) {
    this.versions = versions;
    this.modelLoads = modelLoads;
    this.loads = new LoadTracker(loadTime);
    SubsetTable subsets = new SubsetTable(endpoints.keySet(), usage);
    this.slotChooser = new SlotChooser(versions, demand, usage, loads, subsets);
  }

  /**
   * Applies an engine's entry. A new process under a known name is assumed to be empty.
   *
   * @return whether the engine was not known
   */
  boolean observe(EndpointEntry entry, EngineSpec engine, long now) {
    PlannedEndpoint known = endpoints.get(entry.endpoint());
    boolean isNew = known == null;
    if (known == null || known.entry.startTimeMs() != entry.startTimeMs()) {
      if (known != null) {
        known.copies.keySet().forEach(name -> changes.recordRemoved(entry.endpoint(), name));
      }
      AdapterCacheDepthEstimator depth = loads.depthOf(entry.service(), engine.adapterSlots());
      known = new PlannedEndpoint(entry, engine, depth);
      known.adoptEntry(now);
      endpoints.put(entry.endpoint(), known);
      recordAllChanges(known, now);
    }
    known.entry = entry;
    known.engine = engine;
    // An entry is up to a heartbeat old, so it may precede the order to load a base model.
    if (now >= known.ignoreEntryModelsUntil) {
      known.models.clear();
      known.models.addAll(entry.models().stream().map(EndpointEntry.HeldModel::model).toList());
    }
    return isNew;
  }

  /** Sets the prompt reading speed of an engine, in tokens per millisecond. */
  void setReadingSpeed(EndpointId id, double tokensPerMs) {
    PlannedEndpoint endpoint = endpoints.get(id);
    if (endpoint != null) {
      endpoint.tokensPerMs = tokensPerMs;
    }
  }

  /** Removes all engines but these. */
  void retain(Set<EndpointId> present) {
    endpoints.keySet().retainAll(present);
  }

  /**
   * Requires a report of every engine before its next order, after this daemon has become
   * coordinator.
   */
  void requireReports() {
    endpoints.values().forEach(endpoint -> endpoint.synced = false);
  }

  /** Applies a daemon's usage report. */
  void updateUsage(DaemonId daemon, List<EndpointUsage> usages, long now) {
    for (EndpointUsage reported : usages) {
      PlannedEndpoint endpoint = endpoints.get(reported.endpoint());
      if (endpoint != null) {
        reported.uses().forEach(use -> used(endpoint, use, now));
      }
    }
    usage.update(daemon, usages);
  }

  private void used(PlannedEndpoint endpoint, EndpointUsage.AdapterUse use, long now) {
    demand.record(use.adapter(), use.starts(), now);
    PlannedEndpoint.Copy copy = endpoint.copies.get(use.adapter());
    if (copy == null) {
      return;
    }
    copy.lastUsed = now;
    copy.used = true;
    if (copy.load != null && use.starts() > 0) {
      copy.load.requestSent();
    }
  }

  /** Sets the time between two usage reports of one daemon, in milliseconds. */
  void setReportInterval(long intervalMs) {
    slotChooser.setReportInterval(intervalMs);
  }

  /** Removes a daemon whose link has closed. */
  void removeDaemon(DaemonId daemon) {
    usage.remove(daemon);
  }

  /** Returns the load of all daemons at the engines. */
  Map<EndpointId, Load> loads() {
    Map<EndpointId, Load> all = usage.loads();
    all.keySet().retainAll(endpoints.keySet());
    return all;
  }

  /** Returns the adapters with running requests or a load in progress at an engine. */
  Set<AdapterName> inUse(EndpointId id, long now) {
    return endpoints.get(id).inUse(usage.inUse(id), now);
  }

  /** Plans a load of an adapter, unless an engine holds or loads it already. */
  LoadReply request(LoadNeed need, boolean another, long now) {
    demand.record(need, now);
    return assign(need, another, now);
  }

  /** Does the same for a request that has already been counted as demand. */
  LoadReply assign(LoadNeed need, boolean another, long now) {
    AdapterName adapter = need.adapter();
    Optional<EndpointId> known =
        another ? loadingEndpoint(adapter, now) : holder(adapter, need.version(), need.excluded());
    if (known.isPresent()) {
      // The request will be sent there and must not find the adapter evicted.
      endpoints.get(known.get()).copies.get(adapter).lastUsed = now;
      recordChange(known.get(), adapter, now);
      return new LoadReply.Assigned(known.get());
    }
    return planAtCheapest(need, now)
        .<LoadReply>map(LoadReply.Assigned::new)
        .orElseGet(LoadReply.Rejected::noSlot);
  }

  /** Plans a load at the cheapest engine that can take it. */
  private Optional<EndpointId> planAtCheapest(LoadNeed need, long now) {
    AdapterName adapter = need.adapter();
    long version = Math.max(need.version(), versions.newest(adapter));
    Optional<PlannedEndpoint> best = slotChooser.cheapest(endpoints.values(), need, now);
    best.ifPresentOrElse(
        endpoint -> planLoad(endpoint, adapter, version, now), () -> demand.noSlot(now));
    return best.map(endpoint -> endpoint.entry.endpoint());
  }

  /** Returns whether an engine holds or is to load an adapter. */
  boolean holds(AdapterName adapter, long version) {
    return holder(adapter, version, Set.of()).isPresent();
  }

  private Optional<EndpointId> holder(AdapterName adapter, long version, Set<EndpointId> excluded) {
    return endpoints.values().stream()
        .filter(endpoint -> !endpoint.entry.leaving())
        .filter(endpoint -> !excluded.contains(endpoint.entry.endpoint()))
        .filter(endpoint -> endpoint.holds(adapter, version))
        .map(endpoint -> endpoint.entry.endpoint())
        .findFirst();
  }

  private Optional<EndpointId> loadingEndpoint(AdapterName adapter, long now) {
    return endpoints.values().stream()
        .filter(endpoint -> endpoint.isLoading(adapter, now))
        .map(endpoint -> endpoint.entry.endpoint())
        .findFirst();
  }

  private void planLoad(PlannedEndpoint endpoint, AdapterName adapter, long version, long now) {
    EndpointId id = endpoint.entry.endpoint();
    if (!SlotChooser.hasFreeSlot(endpoint) && !endpoint.copies.containsKey(adapter)) {
      AdapterName victim = slotChooser.victim(endpoint, now).orElseThrow();
      endpoint.steps.add(planUnload(endpoint, victim));
    }
    boolean replaces = endpoint.copies.containsKey(adapter);
    long takesMs = loads.plannedMs(!replaces && endpoint.cachedAdapters.isCached(adapter), now);
    PlannedEndpoint.Copy copy =
        new PlannedEndpoint.Copy(version, PlannedEndpoint.State.PLANNED, now + takesMs, now);
    copy.replaces = replaces;
    endpoint.copies.put(adapter, copy);
    endpoint.steps.add(step(EndpointOrder.Type.LOAD, adapter, OptionalLong.of(version)));
    recordChange(id, adapter, now);
  }

  private PlannedEndpoint.Step planUnload(PlannedEndpoint endpoint, AdapterName victim) {
    endpoint.copies.get(victim).state = PlannedEndpoint.State.LEAVING;
    changes.recordRemoved(endpoint.entry.endpoint(), victim);
    return step(EndpointOrder.Type.UNLOAD, victim, OptionalLong.empty());
  }

  private static PlannedEndpoint.Step step(
      EndpointOrder.Type type, AdapterName adapter, OptionalLong version) {
    return new PlannedEndpoint.Step(type, adapter.model(), Optional.of(adapter.adapter()), version);
  }

  /** Removes an adapter from the cache models, since the cached versions are outdated. */
  void removeFromCaches(AdapterName adapter) {
    endpoints.values().forEach(endpoint -> endpoint.cachedAdapters.remove(adapter));
  }

  /**
   * Restores the cache model of an engine for a new coordinator; the most recent adapter comes
   * last.
   */
  void restoreCache(EndpointId id, List<AdapterName> recentAdapters) {
    PlannedEndpoint endpoint = endpoints.get(id);
    recentAdapters.forEach(endpoint.cachedAdapters::held);
  }

  /** Replaces the copies of a requested adapter by its new version, one after the other. */
  void released(AdapterName adapter, long version, long now) {
    if (demand.of(adapter, now) < 1) {
      return;
    }
    for (PlannedEndpoint endpoint : endpoints.values()) {
      PlannedEndpoint.Copy copy = endpoint.copies.get(adapter);
      boolean replaceable =
          copy != null
              && copy.state == PlannedEndpoint.State.HELD
              && copy.version < version
              && endpoint.synced
              && endpoint.loadsInProgress(now) < MAX_LOADS_IN_PROGRESS;
      if (replaceable && loadingEndpoint(adapter, now).isEmpty()) {
        planLoad(endpoint, adapter, version, now);
      }
    }
  }

  /** Replaces outdated copies of all requested adapters. */
  void replaceOutdated(long now) {
    Set<AdapterName> outdated = new HashSet<>();
    for (PlannedEndpoint endpoint : endpoints.values()) {
      endpoint.copies.forEach(
          (name, copy) -> {
            if (copy.version < versions.newest(name)) {
              outdated.add(name);
            }
          });
    }
    outdated.forEach(name -> released(name, versions.newest(name), now));
  }

  /** Returns the engines from which a report has to be requested. */
  List<EndpointEntry> dueForReport(long now) {
    List<EndpointEntry> dueForReport = new ArrayList<>();
    for (PlannedEndpoint endpoint : endpoints.values()) {
      boolean due =
          endpoint.synced
              ? endpoint.hasUnloading() && now >= endpoint.unloadReportAt
              : !endpoint.ordering && now >= endpoint.noOrdersUntil;
      if (due && !endpoint.reportPending) {
        endpoint.reportPending = true;
        endpoint.unloadReportPending = endpoint.synced;
        dueForReport.add(endpoint.entry);
      }
    }
    return dueForReport;
  }

  /** Handles an engine's report; empty if the request for it failed. */
  void reported(EndpointId id, Optional<EndpointReport> report, long now) {
    PlannedEndpoint endpoint = endpoints.get(id);
    if (endpoint == null) {
      return;
    }
    endpoint.reportPending = false;
    if (endpoint.unloadReportPending) {
      report.ifPresent(endpoint::removeUnloaded);
      endpoint.unloadReportAt = now + REPORT_LAG_MS;
      return;
    }
    if (report.isEmpty() || report.get().busy() || endpoint.isOlderThanModel(report.get(), now)) {
      endpoint.noOrdersUntil =
          now + (endpoint.ignoreEntryModelsUntil > now ? MODEL_POLL_MS : REPORT_LAG_MS);
      return;
    }
    Set<AdapterName> before = new HashSet<>(endpoint.copies.keySet());
    endpoint.adopt(report.get(), now, loads.storeMs(now));
    endpoint.reportedEmpty = endpoint.models.isEmpty();
    before.removeAll(endpoint.copies.keySet());
    before.forEach(name -> changes.recordRemoved(id, name));
    recordAllChanges(endpoint, now);
  }

  /**
   * Returns the next order to an engine, if one is due; its result must be passed to {@link
   * #ordered}.
   */
  Optional<EndpointOrder> nextOrder(EndpointId id, DaemonId holder, long epoch, long now) {
    PlannedEndpoint endpoint = endpoints.get(id);
    if (endpoint == null || endpoint.ordering || !endpoint.synced || now < endpoint.noOrdersUntil) {
      return Optional.empty();
    }
    if (endpoint.steps.isEmpty() && endpoint.models.isEmpty() && !endpoint.entry.leaving()) {
      // The list entry may be older than the engine's last load, and loading a second model would
      // crash it; only the engine's own report proves that it is empty.
      if (!endpoint.reportedEmpty) {
        resync(endpoint, now);
        return Optional.empty();
      }
      missingModel(endpoint, now)
          .ifPresent(
              spec ->
                  endpoint.steps.add(
                      new PlannedEndpoint.Step(
                          EndpointOrder.Type.LOAD,
                          spec.model(),
                          Optional.empty(),
                          OptionalLong.empty())));
    }
    PlannedEndpoint.Step step = nextStep(endpoint, now);
    if (step == null) {
      return Optional.empty();
    }
    endpoint.ordering = true;
    return Optional.of(
        new EndpointOrder(
            step.type(),
            id,
            endpoint.entry.address(),
            step.model(),
            step.adapter(),
            step.version(),
            holder,
            epoch,
            endpoint.sequence));
  }

  /**
   * Returns the next step, after securing a slot for a load. An adapter to be evicted may be in use
   * again, and the engine unloads it only after its requests have ended. Then another one is
   * evicted instead, or the load is dropped; a load beyond the engine's slots would crash it.
   */
  private PlannedEndpoint.Step nextStep(PlannedEndpoint endpoint, long now) {
    PlannedEndpoint.Step step = endpoint.steps.peek();
    while (step != null && endpoint.lacksSlot(step)) {
      Optional<AdapterName> victim = slotChooser.victim(endpoint, now);
      if (victim.isPresent()) {
        endpoint.steps.addFirst(planUnload(endpoint, victim.get()));
      } else {
        endpoint.steps.poll();
        AdapterName dropped = step.name().orElseThrow();
        endpoint.copies.remove(dropped);
        changes.recordRemoved(endpoint.entry.endpoint(), dropped);
      }
      step = endpoint.steps.peek();
    }
    return step;
  }

  /** Returns the base model for an engine that has none: the one with the fewest holders. */
  private Optional<ModelSpec> missingModel(PlannedEndpoint endpoint, long now) {
    Optional<ModelSpec> missing =
        endpoint.engine.models().stream()
            .filter(spec -> spec.weightsMb() <= endpoint.engine.weightsMb())
            .min(Comparator.comparingLong(spec -> holders(spec.model())));
    return missing.filter(spec -> modelLoads.tryAcquire(endpoint.engine.loadsPerSecond(), now));
  }

  private long holders(ModelId model) {
    return endpoints.values().stream().filter(e -> e.models.contains(model)).count();
  }

  /** Handles the result of an order. */
  void ordered(EndpointOrder order, OrderResult result, long now) {
    PlannedEndpoint endpoint = endpoints.get(order.endpoint());
    if (endpoint == null) {
      return;
    }
    endpoint.ordering = false;
    if (result == OrderResult.UNKNOWN && endpoint.unansweredOrders < MAX_UNANSWERED_ORDERS) {
      // The repeated order has the same sequence number, so the engine refuses one of the two.
      endpoint.unansweredOrders++;
      endpoint.copies.forEach((name, copy) -> postpone(endpoint, name, copy, now));
      return;
    }
    endpoint.unansweredOrders = 0;
    PlannedEndpoint.Step step = endpoint.steps.poll();
    if (step == null) {
      return;
    }
    if (result == OrderResult.ACCEPTED || result == OrderResult.DONE) {
      endpoint.sequence++;
      applyAccepted(endpoint, step, result, now);
    } else {
      orderFailed(endpoint, result, now);
    }
  }

  /** Postpones a planned load, since its order was delayed. */
  private void postpone(
      PlannedEndpoint endpoint, AdapterName name, PlannedEndpoint.Copy copy, long now) {
    if (copy.state == PlannedEndpoint.State.PLANNED) {
      copy.readyAt = Math.max(copy.readyAt, now + loads.storeMs(now));
      recordChange(endpoint.entry.endpoint(), name, now);
    }
  }

  private void applyAccepted(
      PlannedEndpoint endpoint, PlannedEndpoint.Step step, OrderResult result, long now) {
    if (step.name().isEmpty()) {
      long takesMs = endpoint.engine.model(step.model()).map(ModelSpec::loadMs).orElse(1_000L);
      endpoint.synced = false;
      endpoint.noOrdersUntil = now + MODEL_POLL_MS;
      endpoint.ignoreEntryModelsUntil = now + takesMs + REPORT_LAG_MS + ENTRY_LAG_MS;
      endpoint.reportedEmpty = false;
      return;
    }
    AdapterName name = step.name().get();
    EndpointId id = endpoint.entry.endpoint();
    if (step.type() == EndpointOrder.Type.UNLOAD) {
      if (result == OrderResult.DONE) {
        endpoint.copies.remove(name);
      } else {
        // The engine waits for running requests; the slot is free only once a report shows it.
        endpoint.copies.get(name).unloadSequence = endpoint.sequence;
        endpoint.unloadReportAt = now + REPORT_LAG_MS;
      }
      return;
    }
    PlannedEndpoint.Copy copy = endpoint.copies.get(name);
    if (copy == null) {
      return;
    }
    copy.state = PlannedEndpoint.State.HELD;
    copy.lastUsed = now;
    copy.readyAt = now;
    if (result == OrderResult.ACCEPTED) {
      loads.begin(endpoint, name, copy, now);
    }
    endpoint.cachedAdapters.held(name);
    recordChange(id, name, now);
  }

  /**
   * Handles a refused or unanswered order, after which the contents of the engine are unknown. It
   * gets no orders until a report shows them. Planned loads are dropped, and daemons that still
   * need them request them again.
   */
  private void orderFailed(PlannedEndpoint endpoint, OrderResult result, long now) {
    EndpointId id = endpoint.entry.endpoint();
    endpoint.steps.clear();
    List<AdapterName> lost = new ArrayList<>();
    endpoint.copies.forEach(
        (name, copy) -> {
          if (copy.state == PlannedEndpoint.State.PLANNED) {
            lost.add(name);
          }
        });
    lost.forEach(name -> changes.recordRemoved(id, name));
    if (result != OrderResult.UNKNOWN) {
      lost.forEach(endpoint.copies::remove);
    }
    resync(endpoint, now);
  }

  private static void resync(PlannedEndpoint endpoint, long now) {
    endpoint.synced = false;
    endpoint.noOrdersUntil = now + REPORT_LAG_MS;
  }

  /** Keeps an adapter at an engine until a time, since a request is to be sent there. */
  void keep(EndpointId id, AdapterName adapter, long until) {
    Optional.ofNullable(endpoints.get(id)).ifPresent(endpoint -> endpoint.keep(adapter, until));
  }

  /** Handles a refused request for an adapter that the engine was assumed to hold. */
  void missed(EndpointId id, AdapterName adapter, boolean early, long now) {
    PlannedEndpoint endpoint = endpoints.get(id);
    PlannedEndpoint.Copy copy = endpoint == null ? null : endpoint.copies.get(adapter);
    if (copy == null) {
      return;
    }
    if (early) {
      loads.refusedEarly(endpoint, copy, now);
      recordChange(id, adapter, now);
    } else if (copy.state != PlannedEndpoint.State.PLANNED) {
      resync(endpoint, now);
    }
  }

  /** Updates the expected arrivals; called several times a second. */
  void advance(long now) {
    endpoints.forEach(
        (id, endpoint) ->
            endpoint.copies.forEach(
                (name, copy) -> {
                  if (loads.advance(endpoint, copy, now)) {
                    recordChange(id, name, now);
                  }
                }));
    demand.removeIdle(now);
  }

  /** Returns the estimates of load times, for daemons that choose among data centres. */
  LoadTimeEstimates loadTimes(long now) {
    return loads.loadTimes(now);
  }

  /** Returns the number of adapter slots of all engines that take orders. */
  int slots() {
    return endpoints.values().stream()
        .filter(endpoint -> endpoint.synced)
        .mapToInt(endpoint -> endpoint.engine.adapterSlots())
        .sum();
  }

  /** Returns the engines for which an order may be due. */
  List<EndpointId> endpoints() {
    return List.copyOf(endpoints.keySet());
  }

  private void recordAllChanges(PlannedEndpoint endpoint, long now) {
    endpoint.copies.keySet().forEach(name -> recordChange(endpoint.entry.endpoint(), name, now));
  }

  private void recordChange(EndpointId id, AdapterName adapter, long now) {
    changes.recordHeld(id, adapter, endpoints.get(id).copies.get(adapter), now);
  }

  /** Returns the changes since the last call. */
  List<Placement> drainChanges() {
    return changes.drain();
  }

  /** Returns the contents of all engines. */
  List<Placement> snapshot(long now) {
    return PlacementChanges.snapshot(endpoints, now);
  }
}
