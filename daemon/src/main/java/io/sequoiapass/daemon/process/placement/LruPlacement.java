package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.RequestId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Serves each request on the endpoint that the router chose and evicts the least recently used
 * adapter: the simplest placement that meets all guarantees, and the baseline for the others.
 *
 * <p>Not safe for use by several threads.
 */
public final class LruPlacement implements Placement {

  private static final long RETRY_LOAD_MS = 500;
  private static final int MAX_LOAD_FAILURES = 3;
  private static final long RETRY_AFTER_MS = 1_000;

  private final Map<EndpointId, Engine> engines = new LinkedHashMap<>();
  private final Map<RequestId, Engine> started = new HashMap<>();

  /** Creates a placement without endpoints. */
  public LruPlacement() {}

  @Override
  public List<PlacementAction> endpointJoined(long nowMs, EndpointStatus status) {
    Engine known = engines.get(status.endpoint());
    Engine engine = new Engine(status);
    if (known != null) {
      engine.waiting.addAll(known.waiting);
      started.values().removeIf(known::equals);
    }
    engines.put(status.endpoint(), engine);
    for (Copy copy : engine.copies.values()) {
      copy.running.forEach(request -> started.put(request, engine));
    }
    return serve(nowMs, engine);
  }

  @Override
  public List<PlacementAction> endpointLeft(long nowMs, EndpointId endpoint) {
    Engine engine = engines.remove(endpoint);
    List<PlacementAction> actions = new ArrayList<>();
    if (engine != null) {
      started.values().removeIf(engine::equals);
      engine.waiting.forEach(request -> actions.add(refusal(request, RefusalReason.NO_ENDPOINT)));
    }
    return actions;
  }

  @Override
  public List<PlacementAction> endpointDraining(long nowMs, EndpointId endpoint) {
    Engine engine = engines.get(endpoint);
    if (engine != null) {
      engine.draining = true;
    }
    return List.of();
  }

  @Override
  public List<PlacementAction> requestArrived(long nowMs, PlacementRequest request) {
    Engine engine = engines.get(request.preferred());
    if (engine == null || engine.draining) {
      return List.of(refusal(request, RefusalReason.NO_ENDPOINT));
    }
    engine.waiting.add(request);
    return serve(nowMs, engine);
  }

  private static PlacementAction refusal(PlacementRequest request, RefusalReason reason) {
    return new PlacementAction.Refuse(request.id(), reason, RETRY_AFTER_MS);
  }

  @Override
  public List<PlacementAction> requestWithdrawn(long nowMs, RequestId request) {
    engines
        .values()
        .forEach(engine -> engine.waiting.removeIf(waiting -> waiting.id().equals(request)));
    return List.of();
  }

  @Override
  public List<PlacementAction> requestFinished(long nowMs, RequestId request) {
    Engine engine = started.remove(request);
    if (engine == null) {
      return List.of();
    }
    engine.copies.values().forEach(copy -> copy.running.remove(request));
    return serve(nowMs, engine);
  }

  @Override
  public List<PlacementAction> loadFinished(long nowMs, LoadResult result) {
    Engine engine = engines.get(result.endpoint());
    if (engine == null || !engine.loading.remove(result.adapter())) {
      return List.of();
    }
    if (result.handle().isPresent()) {
      engine.failures.remove(result.adapter());
      engine.copies.put(result.adapter(), new Copy(result.handle().get(), nowMs, List.of()));
      return serve(nowMs, engine);
    }
    return failed(nowMs, engine, result.adapter());
  }

  private List<PlacementAction> failed(long nowMs, Engine engine, AdapterVersion adapter) {
    int failures = engine.failures.merge(adapter, 1, Integer::sum);
    engine.retryAt.put(adapter, nowMs + RETRY_LOAD_MS);
    List<PlacementAction> actions = new ArrayList<>();
    if (failures >= MAX_LOAD_FAILURES) {
      engine.failures.remove(adapter);
      Iterator<PlacementRequest> waiting = engine.waiting.iterator();
      while (waiting.hasNext()) {
        PlacementRequest request = waiting.next();
        if (request.adapter().equals(adapter)) {
          waiting.remove();
          actions.add(refusal(request, RefusalReason.LOAD_FAILED));
        }
      }
    }
    return actions;
  }

  @Override
  public List<PlacementAction> tick(long nowMs) {
    List<PlacementAction> actions = new ArrayList<>();
    for (Engine engine : engines.values()) {
      Iterator<PlacementRequest> waiting = engine.waiting.iterator();
      while (waiting.hasNext()) {
        PlacementRequest request = waiting.next();
        if (nowMs >= request.deadlineMs()) {
          waiting.remove();
          actions.add(refusal(request, RefusalReason.DEADLINE_PASSED));
        }
      }
      actions.addAll(serve(nowMs, engine));
    }
    return actions;
  }

  private List<PlacementAction> serve(long nowMs, Engine engine) {
    List<PlacementAction> actions = new ArrayList<>();
    Iterator<PlacementRequest> waiting = engine.waiting.iterator();
    while (waiting.hasNext()) {
      PlacementRequest request = waiting.next();
      Copy copy = engine.copies.get(request.adapter());
      if (copy != null && engine.running() < engine.status.maxStreams()) {
        waiting.remove();
        copy.lastUsed = nowMs;
        copy.running.add(request.id());
        started.put(request.id(), engine);
        actions.add(
            new PlacementAction.Start(
                request.id(), engine.status.endpoint(), request.adapter(), copy.handle));
      } else if (copy == null) {
        load(nowMs, engine, request.adapter()).ifPresent(actions::add);
      }
    }
    return actions;
  }

  private static Optional<PlacementAction> load(long nowMs, Engine engine, AdapterVersion adapter) {
    if (engine.loading.contains(adapter) || nowMs < engine.retryAt.getOrDefault(adapter, nowMs)) {
      return Optional.empty();
    }
    Optional<LoadHandle> evict = Optional.empty();
    if (engine.copies.size() + engine.loading.size() >= engine.status.slots()) {
      Optional<Map.Entry<AdapterVersion, Copy>> victim =
          engine.copies.entrySet().stream()
              .filter(entry -> entry.getValue().running.isEmpty())
              .min(Comparator.comparingLong(entry -> entry.getValue().lastUsed));
      if (victim.isEmpty()) {
        return Optional.empty();
      }
      engine.copies.remove(victim.get().getKey());
      evict = Optional.of(victim.get().getValue().handle);
    }
    engine.loading.add(adapter);
    return Optional.of(new PlacementAction.Load(engine.status.endpoint(), adapter, evict));
  }

  /** State of one endpoint. */
  private static final class Engine {
    private final EndpointStatus status;
    private final Map<AdapterVersion, Copy> copies = new HashMap<>();
    private final Set<AdapterVersion> loading = new HashSet<>();
    private final Map<AdapterVersion, Integer> failures = new HashMap<>();
    private final Map<AdapterVersion, Long> retryAt = new HashMap<>();
    private final Deque<PlacementRequest> waiting = new ArrayDeque<>();
    private boolean draining;

    Engine(EndpointStatus status) {
      this.status = status;
      for (Resident resident : status.residents()) {
        copies.put(resident.adapter(), new Copy(resident.handle(), 0, resident.running()));
      }
    }

    int running() {
      return copies.values().stream().mapToInt(copy -> copy.running.size()).sum();
    }
  }

  /** One resident adapter. */
  private static final class Copy {
    private final LoadHandle handle;
    private final Set<RequestId> running;
    private long lastUsed;

    Copy(LoadHandle handle, long lastUsed, List<RequestId> running) {
      this.handle = handle;
      this.lastUsed = lastUsed;
      this.running = new HashSet<>(running);
    }
  }
}
