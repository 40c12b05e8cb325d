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
 * Places requests so that few wait for a load and batches hold few adapters.
 *
 * <pre>{@code
 * Placement placement =
 *     new AdaptivePlacement(PlacementSettings.defaults(), PlacementWeights.STALLS);
 * }</pre>
 *
 * <p>Not safe for use by several threads: one shard calls it under its lock.
 */
public final class AdaptivePlacement implements Placement {

  /** A request's weight in the order of loads doubles after waiting this long. */
  private static final long AGING_MS = 1_000;

  /** How often forgotten adapters leave the demand table. */
  private static final long PRUNE_MS = 60_000;

  /** Loads that a request waits for while the store looks busy, at most; half for a deadline. */
  private static final int PATIENCE_LOADS = 1;

  /** Requests within a half-life that a full batch on the endpoint makes up for. */
  private static final double PACKING = 1;

  /** Cost of a free slot: below any eviction. */
  private static final double FREE = -1_000;

  /**
   * An adapter goes to the endpoint that the router chose if what it evicts there has less than
   * this share of its own demand; one that is seldom asked for goes wherever the least is lost.
   */
  private static final double DESERVES = 0.5;

  private static final int HUNDREDTHS = 100;

  private static final long NO_ENDPOINT_COME_BACK_MS = 1_000;

  private record Running(EndpointState.Slot slot) {}

  private static final class Failures {
    int count;
    long retryAtMs;
  }

  private final PlacementSettings settings;
  private PlacementWeights weights;
  private boolean prefetches = true;
  private final Map<EndpointId, EndpointState> endpoints = new TreeMap<>();
  private final Map<AdapterVersion, WaitingGroup> waiting = new TreeMap<>();
  private final Map<RequestId, AdapterVersion> queued = new HashMap<>();
  private final Map<RequestId, Running> running = new HashMap<>();
  private final Map<AdapterVersion, Failures> failures = new HashMap<>();
  private final Map<AdapterVersion, ModelId> models = new HashMap<>();
  private final DemandTable demand;
  private final LoadTurns turns;
  private long pruneAtMs;
  private long lastMs;

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
    this.turns = new LoadTurns(settings.loadAloneMs());
  }

  @Override
  public List<PlacementAction> endpointJoined(long nowMs, EndpointStatus status) {
    forget(status.endpoint());
    EndpointState endpoint = new EndpointState(status);
    endpoints.put(endpoint.id, endpoint);
    for (Resident resident : status.residents()) {
      EndpointState.Slot slot = endpoint.add(nowMs, resident.adapter());
      slot.handle = resident.handle();
      for (RequestId request : resident.running()) {
        occupy(request, slot);
      }
    }
    status.loading().forEach(adapter -> endpoint.addForeign(nowMs, adapter));
    return decide(nowMs);
  }

  @Override
  public List<PlacementAction> endpointSeen(long nowMs, EndpointStatus status) {
    EndpointState endpoint = endpoints.get(status.endpoint());
    return endpoint != null && endpoint.reconcile(nowMs, status) ? decide(nowMs) : List.of();
  }

  @Override
  public List<PlacementAction> endpointLeft(long nowMs, EndpointId endpoint) {
    forget(endpoint);
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
      throw new IllegalArgumentException("request is here already: " + request.id());
    }
    if (active(request.model()).isEmpty()) {
      return refuse(request.id(), RefusalReason.NO_ENDPOINT, NO_ENDPOINT_COME_BACK_MS);
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
      turns.end();
    }
    if (result.handle().isPresent()) {
      slot.handle = result.handle().get();
      turns.took(nowMs - slot.loadedAtMs);
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
    refuseLate(nowMs, actions);
    giveUpHung(nowMs);
    if (nowMs >= pruneAtMs) {
      demand.prune(nowMs);
      models.keySet().removeIf(adapter -> demand.of(nowMs, adapter) == 0);
      pruneAtMs = nowMs + PRUNE_MS;
    }
    actions.addAll(decide(nowMs));
    return actions;
  }

  /** Returns how many loads this owner has under way, for the other owners. */
  public int loadsUnderWay() {
    return turns.underWay();
  }

  /**
   * Tells how many loads the other owners had under way by their last reports.
   *
   * @param nowMs the time
   * @param loads the sum over the other owners that share the weight store
   */
  public void otherLoads(long nowMs, int loads) {
    turns.others(nowMs, loads);
  }

  @Override
  public void weigh(PlacementWeights newWeights, boolean mayPrefetch) {
    weights = newWeights;
    prefetches = mayPrefetch;
  }

  @Override
  public int freePlaces() {
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
                    adapter -> demand.of(lastMs, adapter) >= hotDemand,
                    price(e)))
        .toList();
  }

  /**
   * Returns what the next load on an endpoint evicts, for entries that choose between endpoints.
   */
  private int price(EndpointState endpoint) {
    if (endpoint.hasFreeSlot()) {
      return 0;
    }
    EndpointState.Slot cheapest = cheapest(lastMs, endpoint);
    return cheapest == null
        ? EndpointLoad.NOTHING_TO_EVICT
        : (int) Math.round(demand.of(lastMs, cheapest.adapter) * HUNDREDTHS);
  }

  private List<PlacementAction> decide(long nowMs) {
    lastMs = nowMs;
    List<PlacementAction> actions = new ArrayList<>();
    startReady(actions);
    if (turns.free()) {
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
        Optional<EndpointState.Slot> copy = copyFor(entry.request());
        if (copy.isEmpty()) {
          break;
        }
        start(entry.request(), copy.get(), actions);
      }
    }
  }

  /** Chooses the copy on the busiest endpoint that has a place: batches fill up one by one. */
  private Optional<EndpointState.Slot> copyFor(PlacementRequest request) {
    return active(request.model()).stream()
        .filter(EndpointState::hasStreamPlace)
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
      if (!turns.mayBegin(nowMs, waitedMs, patienceMs(group.urgency()))) {
        continue;
      }
      if (load(nowMs, group.adapter, group.preferred(), active(group.model), actions)) {
        return;
      }
    }
    if (prefetches && wanted.isEmpty() && turns.mayBegin(nowMs, 0, 1)) {
      prefetch(nowMs, actions);
    }
  }

  private long patienceMs(Urgency urgency) {
    long patienceMs = PATIENCE_LOADS * settings.loadAloneMs();
    return urgency == Urgency.DEADLINE ? patienceMs / 2 : patienceMs;
  }

  private boolean needsLoad(long nowMs, WaitingGroup group) {
    long readyMs = nowMs + (long) (settings.loadAloneMs() * turns.contention());
    if (backsOff(nowMs, group.adapter) || group.latestDeadlineMs() < readyMs) {
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
    double least = Double.POSITIVE_INFINITY;
    for (EndpointState endpoint : candidates) {
      if (endpoint.holds(adapter)) {
        continue;
      }
      EndpointState.Slot cheapest = endpoint.hasFreeSlot() ? null : cheapest(nowMs, endpoint);
      if (cheapest == null && !endpoint.hasFreeSlot()) {
        continue;
      }
      double cost = cheapest == null ? FREE : worth(nowMs, cheapest);
      if (endpoint.id.equals(preferred) && cost < wanted * DESERVES) {
        cost = FREE - 1;
      }
      if (cost < least) {
        best = endpoint;
        victim = cheapest;
        least = cost;
      }
    }
    if (best == null) {
      return false;
    }
    Optional<LoadHandle> evicted = Optional.ofNullable(victim).map(slot -> slot.handle);
    best.slots.remove(victim);
    best.add(nowMs, adapter);
    turns.begin();
    actions.add(new PlacementAction.Load(best.id, adapter, evicted));
    return true;
  }

  /**
   * Returns what evicting an adapter loses; less on a busy endpoint, whose batch the load joins.
   */
  private double worth(long nowMs, EndpointState.Slot slot) {
    double busy = slot.endpoint.streams / (double) slot.endpoint.maxStreams;
    return demand.of(nowMs, slot.adapter) - PACKING * weights.batchPreference() * busy;
  }

  private EndpointState.Slot cheapest(long nowMs, EndpointState endpoint) {
    EndpointState.Slot cheapest = null;
    for (EndpointState.Slot slot : endpoint.slots) {
      boolean evictable = slot.idle() && !waiting.containsKey(slot.adapter);
      if (evictable && (cheapest == null || worth(nowMs, slot) < worth(nowMs, cheapest))) {
        cheapest = slot;
      }
    }
    return cheapest;
  }

  private boolean backsOff(long nowMs, AdapterVersion adapter) {
    Failures failed = failures.get(adapter);
    return failed != null && nowMs < failed.retryAtMs;
  }

  /**
   * Fills free slots with what was wanted most, so that a cold engine is warm before it is asked.
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
      if (held || backsOff(nowMs, adapter)) {
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
    long pauseMs = settings.retryMs() << Math.min(failed.count - 1, settings.maxFailures());
    failed.retryAtMs = nowMs + pauseMs;
    if (failed.count < settings.maxFailures()) {
      return List.of();
    }
    List<PlacementAction> actions = new ArrayList<>();
    WaitingGroup group = waiting.get(adapter);
    if (group != null) {
      for (WaitingGroup.Queued entry : List.copyOf(group.requests)) {
        dequeue(entry.request().id());
        actions.addAll(refuse(entry.request().id(), RefusalReason.LOAD_FAILED, pauseMs));
      }
    }
    return actions;
  }

  private void refuseLate(long nowMs, List<PlacementAction> actions) {
    for (WaitingGroup group : List.copyOf(waiting.values())) {
      for (WaitingGroup.Queued entry : List.copyOf(group.requests)) {
        if (entry.request().deadlineMs() <= nowMs) {
          dequeue(entry.request().id());
          actions.addAll(refuse(entry.request().id(), RefusalReason.DEADLINE_PASSED, 0));
        }
      }
    }
  }

  private void giveUpHung(long nowMs) {
    for (EndpointState endpoint : endpoints.values()) {
      for (EndpointState.Slot slot : endpoint.slots) {
        boolean late = nowMs - slot.loadedAtMs >= settings.hungAfterMs();
        if (!slot.ready() && !slot.hung && late) {
          slot.hung = true;
          turns.end();
        }
      }
    }
  }

  private void forget(EndpointId id) {
    EndpointState old = endpoints.remove(id);
    if (old == null) {
      return;
    }
    running.values().removeIf(run -> run.slot().endpoint == old);
    for (EndpointState.Slot slot : old.slots) {
      if (!slot.ready() && !slot.hung) {
        turns.end();
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

  private static List<PlacementAction> refuse(RequestId id, RefusalReason reason, long comeBack) {
    return List.of(new PlacementAction.Refuse(id, reason, comeBack));
  }
}
