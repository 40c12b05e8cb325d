package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.RequestId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Placement that keeps load stalls few and the number of distinct adapters per batch low.
 *
 * <pre>{@code
 * Placement placement =
 *     new AdaptivePlacement(PlacementSettings.defaults(), PlacementWeights.STALLS);
 * }</pre>
 *
 * <p>Not safe for use by several threads: one shard calls it under its lock.
 */
public final class AdaptivePlacement implements Placement {

  /** Waiting time after which a request's weight in the load order has doubled. */
  private static final long AGING_MS = 1_000;

  /** Interval at which adapters without demand are removed from the demand table. */
  private static final long PRUNE_MS = 60_000;

  /**
   * Longest delay of a load for each load that other owners have in progress, in uncontended load
   * times; half of it for {@link Urgency#DEADLINE}.
   */
  private static final int MAX_DELAY_LOADS = 1;

  /**
   * Demand that a full batch on the endpoint offsets in the cost of an eviction, in requests per
   * half-life.
   */
  private static final double FULL_BATCH_DISCOUNT = 1;

  /** Cost of a free slot: below that of any eviction. */
  private static final double FREE_SLOT_COST = -1_000;

  /**
   * An adapter is loaded on the endpoint that the router chose if the adapter evicted there has
   * less than this share of its demand. An adapter in low demand is loaded where the eviction costs
   * least.
   */
  private static final double MAX_VICTIM_DEMAND_RATIO = 0.5;

  private static final int HUNDREDTHS_PER_REQUEST = 100;

  private static final long NO_ENDPOINT_RETRY_AFTER_MS = 1_000;

  private record Running(EndpointState.Slot slot) {}

  private static final class Failures {
    int count;
    long retryAtMs;
  }

  private final PlacementSettings settings;
  private PlacementWeights weights;
  private boolean prefetchEnabled = true;
  private final Map<EndpointId, EndpointState> endpoints = new TreeMap<>();
  private final Map<AdapterVersion, WaitingGroup> waiting = new TreeMap<>();
  private final Map<RequestId, AdapterVersion> queued = new HashMap<>();
  private final Map<RequestId, Running> running = new HashMap<>();
  private final Map<AdapterVersion, Failures> failures = new HashMap<>();
  private final Map<AdapterVersion, ModelId> models = new HashMap<>();
  private final DemandTable demand;
  private final LoadLimiter limiter;
  private long pruneAtMs;
  private long lastEventMs;

  /**
   * Creates a placement with no endpoint.
   *
   * @param settings times and bounds
   * @param weights what the user prefers
   */
  public AdaptivePlacement(PlacementSettings settings, PlacementWeights weights) {
    this.settings = settings;
    this.weights = weights;
    this.demand = new DemandTable(settings.demandHalfLifeMs());
    this.limiter = new LoadLimiter(settings.loadAloneMs());
  }

  @Override
  public List<PlacementAction> endpointJoined(long nowMs, EndpointStatus status) {
    removeEndpoint(status.endpoint());
    EndpointState endpoint = new EndpointState(status);
    endpoints.put(endpoint.id, endpoint);
    for (Resident resident : status.residents()) {
      EndpointState.Slot slot = endpoint.add(nowMs, resident.adapter());
      slot.handle = resident.handle();
      for (RequestId request : resident.running()) {
        occupy(request, slot);
      }
    }
    status.loading().forEach(adapter -> endpoint.addForeignLoad(nowMs, adapter));
    return decide(nowMs);
  }

  @Override
  public List<PlacementAction> endpointReported(long nowMs, EndpointStatus status) {
    EndpointState endpoint = endpoints.get(status.endpoint());
    return endpoint != null && endpoint.reconcile(nowMs, status) ? decide(nowMs) : List.of();
  }

  @Override
  public List<PlacementAction> endpointLeft(long nowMs, EndpointId endpoint) {
    removeEndpoint(endpoint);
    return decide(nowMs);
  }

  @Override
  public List<PlacementAction> endpointDraining(long nowMs, EndpointId endpoint) {
    EndpointState state = endpoints.get(endpoint);
    if (state != null) {
      state.draining = true;
    }
    return decide(nowMs);
  }

  @Override
  public List<PlacementAction> requestArrived(long nowMs, PlacementRequest request) {
    if (queued.containsKey(request.id()) || running.containsKey(request.id())) {
      throw new IllegalArgumentException("request is already queued or running: " + request.id());
    }
    if (active(request.model()).isEmpty()) {
      return refuse(request.id(), RefusalReason.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER_MS);
    }
    if (queued.size() >= settings.maxQueued()) {
      return refuse(request.id(), RefusalReason.OVERLOADED, settings.hungAfterMs());
    }
    demand.add(nowMs, request.adapter());
    models.put(request.adapter(), request.model());
    queued.put(request.id(), request.adapter());
    waiting.computeIfAbsent(request.adapter(), a -> new WaitingGroup(request)).add(nowMs, request);
    return decide(nowMs);
  }

  @Override
  public List<PlacementAction> requestWithdrawn(long nowMs, RequestId request) {
    dequeue(request);
    return decide(nowMs);
  }

  @Override
  public List<PlacementAction> requestFinished(long nowMs, RequestId request) {
    Running run = running.remove(request);
    if (run != null) {
      run.slot().streams--;
      run.slot().endpoint.streams--;
    }
    return decide(nowMs);
  }

  @Override
  public List<PlacementAction> loadFinished(long nowMs, LoadResult result) {
    EndpointState endpoint = endpoints.get(result.endpoint());
    if (endpoint == null) {
      return decide(nowMs);
    }
    Optional<EndpointState.Slot> loading = endpoint.loading(result.adapter());
    if (loading.isEmpty()) {
      result.handle().ifPresent(handle -> endpoint.adopt(nowMs, result.adapter(), handle));
      return decide(nowMs);
    }
    EndpointState.Slot slot = loading.get();
    if (!slot.hung) {
      limiter.release();
    }
    if (result.handle().isPresent()) {
      slot.handle = result.handle().get();
      limiter.recordDuration(nowMs - slot.loadedAtMs);
      failures.remove(result.adapter());
      return decide(nowMs);
    }
    endpoint.slots.remove(slot);
    List<PlacementAction> actions = new ArrayList<>(loadFailed(nowMs, result.adapter()));
    actions.addAll(decide(nowMs));
    return actions;
  }

  @Override
  public List<PlacementAction> tick(long nowMs) {
    List<PlacementAction> actions = new ArrayList<>();
    refuseExpired(nowMs, actions);
    timeOutHungLoads(nowMs);
    if (nowMs >= pruneAtMs) {
      demand.prune(nowMs);
      models.keySet().removeIf(adapter -> demand.of(nowMs, adapter) == 0);
      pruneAtMs = nowMs + PRUNE_MS;
    }
    actions.addAll(decide(nowMs));
    return actions;
  }

  /**
   * Returns the number of loads that this owner has in progress, for its reports to the other
   * owners.
   */
  public int loadsInProgress() {
    return limiter.inProgress();
  }

  /**
   * Records the number of loads that the other owners had in progress by their last reports.
   *
   * @param nowMs the time
   * @param loads the sum over the other owners that share the weight store
   */
  public void recordOtherLoads(long nowMs, int loads) {
    limiter.recordOtherLoads(nowMs, loads);
  }

  @Override
  public void updateWeights(PlacementWeights newWeights, boolean prefetches) {
    weights = newWeights;
    prefetchEnabled = prefetches;
  }

  @Override
  public int freeStreams() {
    boolean any = false;
    int free = 0;
    for (EndpointState endpoint : endpoints.values()) {
      if (!endpoint.draining) {
        any = true;
        free += Math.max(0, endpoint.maxStreams - endpoint.streams);
      }
    }
    return any ? free : Integer.MAX_VALUE;
  }

  @Override
  public List<EndpointLoad> loads() {
    double hotDemand = weights.hotDemand(settings.hotDemand());
    Map<EndpointId, List<AdapterVersion>> queuedFor = new HashMap<>();
    for (WaitingGroup group : waiting.values()) {
      for (WaitingGroup.Queued entry : group.requests) {
        queuedFor
            .computeIfAbsent(entry.request().preferred(), e -> new ArrayList<>())
            .add(group.adapter);
      }
    }
    return endpoints.values().stream()
        .map(
            e ->
                e.load(
                    queuedFor.getOrDefault(e.id, List.of()),
                    adapter -> demand.of(lastEventMs, adapter) >= hotDemand,
                    evictionPrice(e)))
        .toList();
  }

  /**
   * Returns the demand of the adapter that the next load on an endpoint evicts, for entries that
   * choose between endpoints.
   */
  private int evictionPrice(EndpointState endpoint) {
    if (endpoint.hasFreeSlot()) {
      return 0;
    }
    EndpointState.Slot cheapest = cheapestVictim(lastEventMs, endpoint);
    return cheapest == null
        ? EndpointLoad.NOTHING_TO_EVICT
        : (int) Math.round(demand.of(lastEventMs, cheapest.adapter) * HUNDREDTHS_PER_REQUEST);
  }

  private List<PlacementAction> decide(long nowMs) {
    lastEventMs = nowMs;
    List<PlacementAction> actions = new ArrayList<>();
    startReady(actions);
    if (limiter.isIdle()) {
      load(nowMs, actions);
    }
    return actions;
  }

  private void startReady(List<PlacementAction> actions) {
    List<WaitingGroup> groups = new ArrayList<>(waiting.values());
    groups.sort(
        Comparator.comparing(WaitingGroup::urgency).thenComparingLong(WaitingGroup::oldestMs));
    for (WaitingGroup group : groups) {
      for (WaitingGroup.Queued entry : List.copyOf(group.requests)) {
        Optional<EndpointState.Slot> copy = selectCopy(entry.request());
        if (copy.isEmpty()) {
          break;
        }
        start(entry.request(), copy.get(), actions);
      }
    }
  }

  /**
   * Returns the ready copy on the busiest endpoint with stream capacity, so that batches fill up
   * one by one.
   */
  private Optional<EndpointState.Slot> selectCopy(PlacementRequest request) {
    return active(request.model()).stream()
        .filter(EndpointState::hasStreamCapacity)
        .flatMap(endpoint -> endpoint.slots.stream())
        .filter(slot -> slot.ready() && slot.adapter.equals(request.adapter()))
        .max(Comparator.comparingInt(slot -> slot.endpoint.streams));
  }

  private void start(
      PlacementRequest request, EndpointState.Slot slot, List<PlacementAction> actions) {
    dequeue(request.id());
    occupy(request.id(), slot);
    actions.add(
        new PlacementAction.Start(request.id(), slot.endpoint.id, request.adapter(), slot.handle));
  }

  private void load(long nowMs, List<PlacementAction> actions) {
    List<WaitingGroup> wanted = new ArrayList<>();
    for (WaitingGroup group : waiting.values()) {
      if (needsLoad(nowMs, group)) {
        wanted.add(group);
      }
    }
    wanted.sort(Comparator.comparingDouble(group -> -group.loadValue(nowMs, AGING_MS)));
    for (WaitingGroup group : wanted) {
      long waitedMs = nowMs - group.oldestMs();
      if (!limiter.mayStart(nowMs, waitedMs, maxDelayMs(group.urgency()))) {
        continue;
      }
      if (load(nowMs, group.adapter, group.preferred(), active(group.model), actions)) {
        return;
      }
    }
    if (prefetchEnabled && wanted.isEmpty() && limiter.mayStart(nowMs, 0, 1)) {
      prefetch(nowMs, actions);
    }
  }

  private long maxDelayMs(Urgency urgency) {
    long maxDelayMs = MAX_DELAY_LOADS * settings.loadAloneMs();
    return urgency == Urgency.DEADLINE ? maxDelayMs / 2 : maxDelayMs;
  }

  private boolean needsLoad(long nowMs, WaitingGroup group) {
    long readyMs = nowMs + (long) (settings.loadAloneMs() * limiter.contention());
    if (isBackingOff(nowMs, group.adapter) || group.latestDeadlineMs() < readyMs) {
      return false;
    }
    int copies = 0;
    for (EndpointState endpoint : active(group.model)) {
      for (EndpointState.Slot slot : endpoint.slots) {
        if (slot.adapter.equals(group.adapter)) {
          if (!slot.ready() && !slot.hung) {
            return false;
          }
          copies += slot.ready() ? 1 : 0;
        }
      }
    }
    return copies == 0 || group.requests.size() > copies;
  }

  private boolean load(
      long nowMs,
      AdapterVersion adapter,
      EndpointId preferred,
      Collection<EndpointState> candidates,
      List<PlacementAction> actions) {
    double wanted = demand.of(nowMs, adapter);
    EndpointState best = null;
    EndpointState.Slot victim = null;
    double lowestCost = Double.POSITIVE_INFINITY;
    for (EndpointState endpoint : candidates) {
      if (endpoint.holds(adapter)) {
        continue;
      }
      EndpointState.Slot cheapest = endpoint.hasFreeSlot() ? null : cheapestVictim(nowMs, endpoint);
      if (cheapest == null && !endpoint.hasFreeSlot()) {
        continue;
      }
      double cost = cheapest == null ? FREE_SLOT_COST : evictionCost(nowMs, cheapest);
      if (endpoint.id.equals(preferred) && cost < wanted * MAX_VICTIM_DEMAND_RATIO) {
        cost = FREE_SLOT_COST - 1;
      }
      if (cost < lowestCost) {
        best = endpoint;
        victim = cheapest;
        lowestCost = cost;
      }
    }
    if (best == null) {
      return false;
    }
    Optional<LoadHandle> evicted = Optional.ofNullable(victim).map(slot -> slot.handle);
    best.slots.remove(victim);
    best.add(nowMs, adapter);
    limiter.acquire();
    actions.add(new PlacementAction.Load(best.id, adapter, evicted));
    return true;
  }

  /**
   * Returns the cost of evicting an adapter: its demand, with a discount on a busy endpoint, whose
   * batch the load joins.
   */
  private double evictionCost(long nowMs, EndpointState.Slot slot) {
    double busy = slot.endpoint.streams / (double) slot.endpoint.maxStreams;
    return demand.of(nowMs, slot.adapter) - FULL_BATCH_DISCOUNT * weights.batchPreference() * busy;
  }

  private EndpointState.Slot cheapestVictim(long nowMs, EndpointState endpoint) {
    EndpointState.Slot cheapest = null;
    for (EndpointState.Slot slot : endpoint.slots) {
      boolean evictable = slot.idle() && !waiting.containsKey(slot.adapter);
      if (evictable
          && (cheapest == null || evictionCost(nowMs, slot) < evictionCost(nowMs, cheapest))) {
        cheapest = slot;
      }
    }
    return cheapest;
  }

  private boolean isBackingOff(long nowMs, AdapterVersion adapter) {
    Failures failed = failures.get(adapter);
    return failed != null && nowMs < failed.retryAtMs;
  }

  /**
   * Fills free slots with the adapters in highest demand, so that a cold engine has them before
   * requests for them arrive.
   */
  private void prefetch(long nowMs, List<PlacementAction> actions) {
    List<EndpointState> free =
        endpoints.values().stream().filter(e -> !e.draining && e.hasFreeSlot()).toList();
    if (free.isEmpty()) {
      return;
    }
    for (AdapterVersion adapter : demand.hottest(nowMs)) {
      ModelId model = models.get(adapter);
      boolean held = active(model).stream().anyMatch(e -> e.holds(adapter));
      if (held || isBackingOff(nowMs, adapter)) {
        continue;
      }
      List<EndpointState> fitting = free.stream().filter(e -> e.model.equals(model)).toList();
      if (load(nowMs, adapter, null, fitting, actions)) {
        return;
      }
    }
  }

  private List<PlacementAction> loadFailed(long nowMs, AdapterVersion adapter) {
    Failures failed = failures.computeIfAbsent(adapter, a -> new Failures());
    failed.count++;
    long backoffMs = settings.retryMs() << Math.min(failed.count - 1, settings.maxFailures());
    failed.retryAtMs = nowMs + backoffMs;
    if (failed.count < settings.maxFailures()) {
      return List.of();
    }
    List<PlacementAction> actions = new ArrayList<>();
    WaitingGroup group = waiting.get(adapter);
    if (group != null) {
      for (WaitingGroup.Queued entry : List.copyOf(group.requests)) {
        dequeue(entry.request().id());
        actions.addAll(refuse(entry.request().id(), RefusalReason.LOAD_FAILED, backoffMs));
      }
    }
    return actions;
  }

  private void refuseExpired(long nowMs, List<PlacementAction> actions) {
    for (WaitingGroup group : List.copyOf(waiting.values())) {
      for (WaitingGroup.Queued entry : List.copyOf(group.requests)) {
        if (entry.request().deadlineMs() <= nowMs) {
          dequeue(entry.request().id());
          actions.addAll(refuse(entry.request().id(), RefusalReason.DEADLINE_PASSED, 0));
        }
      }
    }
  }

  private void timeOutHungLoads(long nowMs) {
    for (EndpointState endpoint : endpoints.values()) {
      for (EndpointState.Slot slot : endpoint.slots) {
        boolean late = nowMs - slot.loadedAtMs >= settings.hungAfterMs();
        if (!slot.ready() && !slot.hung && late) {
          slot.hung = true;
          limiter.release();
        }
      }
    }
  }

  private void removeEndpoint(EndpointId id) {
    EndpointState old = endpoints.remove(id);
    if (old == null) {
      return;
    }
    running.values().removeIf(run -> run.slot().endpoint == old);
    for (EndpointState.Slot slot : old.slots) {
      if (!slot.ready() && !slot.hung) {
        limiter.release();
      }
    }
  }

  private void occupy(RequestId request, EndpointState.Slot slot) {
    running.put(request, new Running(slot));
    slot.streams++;
    slot.endpoint.streams++;
  }

  private void dequeue(RequestId request) {
    AdapterVersion adapter = queued.remove(request);
    if (adapter == null) {
      return;
    }
    WaitingGroup group = waiting.get(adapter);
    group.remove(request);
    if (group.requests.isEmpty()) {
      waiting.remove(adapter);
    }
  }

  private List<EndpointState> active(ModelId model) {
    return endpoints.values().stream()
        .filter(endpoint -> !endpoint.draining && endpoint.model.equals(model))
        .toList();
  }

  private static List<PlacementAction> refuse(
      RequestId id, RefusalReason reason, long retryAfterMs) {
    return List.of(new PlacementAction.Refuse(id, reason, retryAfterMs));
  }
}
