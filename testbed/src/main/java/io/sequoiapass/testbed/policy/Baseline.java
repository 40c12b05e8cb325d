package io.sequoiapass.testbed.policy;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.RequestId;
import io.sequoiapass.daemon.process.placement.EndpointStatus;
import io.sequoiapass.daemon.process.placement.LoadHandle;
import io.sequoiapass.daemon.process.placement.LoadResult;
import io.sequoiapass.daemon.process.placement.Placement;
import io.sequoiapass.daemon.process.placement.PlacementAction;
import io.sequoiapass.daemon.process.placement.PlacementRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A simple placement for comparison: loads a missing adapter immediately and evicts the idle
 * adapter with the lowest retention value.
 */
final class Baseline implements Placement {

  /** Eviction rule: values the retention of an idle adapter; the lowest value is evicted. */
  interface RetentionValue {
    double of(long nowMs, AdapterVersion adapter, long lastUseMs);
  }

  private static final class Slot {
    final AdapterVersion adapter;
    final long sinceMs;
    LoadHandle handle;
    int streams;
    long lastUseMs;

    Slot(AdapterVersion adapter, long sinceMs) {
      this.adapter = adapter;
      this.sinceMs = sinceMs;
    }
  }

  private static final class Node {
    final EndpointStatus status;
    final List<Slot> slots = new ArrayList<>();
    int streams;

    Node(EndpointStatus status) {
      this.status = status;
    }
  }

  private record Running(Node node, Slot slot) {}

  private final RetentionValue retentionValue;
  private final boolean pooled;
  private final int maxLoads;
  private final Map<EndpointId, Node> nodes = new LinkedHashMap<>();
  private final Map<RequestId, PlacementRequest> queue = new LinkedHashMap<>();
  private final Map<RequestId, Running> running = new HashMap<>();

  /**
   * Creates a placement.
   *
   * @param retentionValue the eviction rule
   * @param pooled whether a request may run on an endpoint other than the preferred one
   * @param maxLoads maximum number of concurrent loads; if limited, the adapter that most requests
   *     wait for is loaded first
   */
  Baseline(RetentionValue retentionValue, boolean pooled, int maxLoads) {
    this.retentionValue = retentionValue;
    this.pooled = pooled;
    this.maxLoads = maxLoads;
  }

  /** Returns the number of streams and queued requests of an endpoint. */
  int load(EndpointId endpoint) {
    int queued = 0;
    for (PlacementRequest request : queue.values()) {
      queued += request.preferred().equals(endpoint) ? 1 : 0;
    }
    return nodes.get(endpoint).streams + queued;
  }

  /** Returns whether an endpoint holds or loads an adapter. */
  boolean holds(EndpointId endpoint, AdapterVersion adapter) {
    return nodes.get(endpoint).slots.stream().anyMatch(slot -> slot.adapter.equals(adapter));
  }

  @Override
  public List<PlacementAction> endpointJoined(long nowMs, EndpointStatus status) {
    Node old = nodes.put(status.endpoint(), new Node(status));
    if (old != null) {
      running.values().removeIf(run -> run.node() == old);
    }
    return dispatch(nowMs);
  }

  @Override
  public List<PlacementAction> endpointLeft(long nowMs, EndpointId endpoint) {
    throw new UnsupportedOperationException("endpoints don't leave in the simulation");
  }

  @Override
  public List<PlacementAction> endpointDraining(long nowMs, EndpointId endpoint) {
    throw new UnsupportedOperationException("endpoints don't leave in the simulation");
  }

  @Override
  public List<PlacementAction> requestArrived(long nowMs, PlacementRequest request) {
    queue.put(request.id(), request);
    return dispatch(nowMs);
  }

  @Override
  public List<PlacementAction> requestWithdrawn(long nowMs, RequestId request) {
    queue.remove(request);
    return List.of();
  }

  @Override
  public List<PlacementAction> requestFinished(long nowMs, RequestId request) {
    Running run = running.remove(request);
    run.node().streams--;
    run.slot().streams--;
    return dispatch(nowMs);
  }

  @Override
  public List<PlacementAction> loadFinished(long nowMs, LoadResult result) {
    Node node = nodes.get(result.endpoint());
    for (Slot slot : List.copyOf(node.slots)) {
      if (slot.handle == null && slot.adapter.equals(result.adapter())) {
        result.handle().ifPresentOrElse(h -> slot.handle = h, () -> node.slots.remove(slot));
      }
    }
    return dispatch(nowMs);
  }

  @Override
  public List<PlacementAction> tick(long nowMs) {
    return maxLoads == Integer.MAX_VALUE ? List.of() : dispatch(nowMs);
  }

  private List<PlacementAction> dispatch(long nowMs) {
    List<PlacementAction> actions = new ArrayList<>();
    for (PlacementRequest request : List.copyOf(queue.values())) {
      start(nowMs, request, actions);
    }
    for (PlacementRequest request : loadOrder()) {
      if (maxLoads != Integer.MAX_VALUE && loadsInProgress(nowMs) >= maxLoads) {
        break;
      }
      load(nowMs, request, actions);
    }
    return actions;
  }

  /**
   * Counts the loads in progress that have not hung. Hangs are detected only if loads are limited.
   */
  private long loadsInProgress(long nowMs) {
    return nodes.values().stream()
        .flatMap(node -> node.slots.stream())
        .filter(slot -> slot.handle == null && !hung(nowMs, slot))
        .count();
  }

  private boolean hung(long nowMs, Slot slot) {
    boolean timedOut = nowMs - slot.sinceMs > 2 * WeightStore.ALONE_MS;
    return maxLoads != Integer.MAX_VALUE && slot.handle == null && timedOut;
  }

  private List<Node> candidates(PlacementRequest request) {
    return nodes.values().stream()
        .filter(node -> node.status.model().equals(request.model()))
        .filter(node -> pooled || node.status.endpoint().equals(request.preferred()))
        .toList();
  }

  private void start(long nowMs, PlacementRequest request, List<PlacementAction> actions) {
    Optional<Running> copy =
        candidates(request).stream()
            .filter(node -> node.streams < node.status.maxStreams())
            .flatMap(node -> node.slots.stream().map(slot -> new Running(node, slot)))
            .filter(run -> run.slot().handle != null)
            .filter(run -> run.slot().adapter.equals(request.adapter()))
            .min(Comparator.comparingInt(run -> run.node().streams));
    if (copy.isEmpty()) {
      return;
    }
    Running run = copy.get();
    run.node().streams++;
    run.slot().streams++;
    run.slot().lastUseMs = nowMs;
    queue.remove(request.id());
    running.put(request.id(), run);
    actions.add(
        new PlacementAction.Start(
            request.id(), run.node().status.endpoint(), request.adapter(), run.slot().handle));
  }

  private List<PlacementRequest> loadOrder() {
    if (maxLoads == Integer.MAX_VALUE) {
      return List.copyOf(queue.values());
    }
    Map<AdapterVersion, Integer> waiting = new HashMap<>();
    queue.values().forEach(request -> waiting.merge(request.adapter(), 1, Integer::sum));
    return queue.values().stream()
        .sorted(Comparator.comparingInt(request -> -waiting.get(request.adapter())))
        .toList();
  }

  private void load(long nowMs, PlacementRequest request, List<PlacementAction> actions) {
    List<Node> candidates = candidates(request);
    boolean held =
        candidates.stream()
            .flatMap(node -> node.slots.stream())
            .anyMatch(slot -> slot.adapter.equals(request.adapter()) && !hung(nowMs, slot));
    if (held) {
      return;
    }
    Node best = null;
    Slot victim = null;
    for (Node node : candidates) {
      if (holds(node.status.endpoint(), request.adapter())) {
        continue;
      }
      if (node.slots.size() < node.status.slots()) {
        best = node;
        victim = null;
        break;
      }
      for (Slot slot : node.slots) {
        boolean idle = slot.handle != null && slot.streams == 0;
        if (idle
            && (victim == null || retentionValue(nowMs, slot) < retentionValue(nowMs, victim))) {
          best = node;
          victim = slot;
        }
      }
    }
    if (best == null) {
      return;
    }
    best.slots.remove(victim);
    best.slots.add(new Slot(request.adapter(), nowMs));
    actions.add(
        new PlacementAction.Load(
            best.status.endpoint(),
            request.adapter(),
            Optional.ofNullable(victim).map(slot -> slot.handle)));
  }

  private double retentionValue(long nowMs, Slot slot) {
    return retentionValue.of(nowMs, slot.adapter, slot.lastUseMs);
  }
}
