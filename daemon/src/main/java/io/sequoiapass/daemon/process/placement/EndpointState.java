package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Owner's state of one endpoint. It is exact, since the owner gives all orders and sends all work.
 */
final class EndpointState {

  /** One slot that is in use. */
  static final class Slot {
    final EndpointState endpoint;
    final AdapterVersion adapter;
    final long loadedAtMs;
    LoadHandle handle;
    int streams;

    /** Whether its load holds no permit: the load timed out, or another owner ordered it. */
    boolean hung;

    Slot(EndpointState endpoint, AdapterVersion adapter, long loadedAtMs) {
      this.endpoint = endpoint;
      this.adapter = adapter;
      this.loadedAtMs = loadedAtMs;
    }

    boolean ready() {
      return handle != null;
    }

    /**
     * Returns whether the adapter is ready and has no running stream, so that it may be evicted.
     */
    boolean idle() {
      return ready() && streams == 0;
    }
  }

  final EndpointId id;
  final ModelId model;
  final int maxStreams;
  final List<Slot> slots = new ArrayList<>();
  private final int maxSlots;
  int streams;
  boolean draining;

  EndpointState(EndpointStatus status) {
    this.id = status.endpoint();
    this.model = status.model();
    this.maxStreams = status.maxStreams();
    this.maxSlots = status.slots();
  }

  EndpointLoad load(List<AdapterVersion> queued, Predicate<AdapterVersion> isHot, int price) {
    Set<AdapterVersion> adapters =
        slots.stream().filter(s -> !s.hung).map(s -> s.adapter).collect(Collectors.toSet());
    adapters.addAll(queued);
    Set<AdapterVersion> hot = adapters.stream().filter(isHot).collect(Collectors.toSet());
    return new EndpointLoad(id, streams, queued.size(), maxStreams, adapters, hot, price);
  }

  boolean hasStreamCapacity() {
    return streams < maxStreams;
  }

  boolean hasFreeSlot() {
    return slots.size() < maxSlots;
  }

  /** Takes a slot for a load that another owner ordered; it holds no load permit of this owner. */
  void addForeignLoad(long nowMs, AdapterVersion adapter) {
    add(nowMs, adapter).hung = true;
  }

  /**
   * Corrects the slots by a status that the engine reported. They differ if a load of a former
   * owner has ended since, or if the answer to a load order was lost. Without the correction a slot
   * that counts as free here is in use on the engine, and every load into it is refused for as long
   * as the engine runs.
   *
   * <p>The status must have been read while no order was in progress, so that it is not older than
   * an order.
   *
   * @return whether anything differed
   */
  boolean reconcile(long nowMs, EndpointStatus status) {
    boolean changed = slots.removeIf(slot -> isStale(slot, status));
    for (Resident resident : status.residents()) {
      // Runs on it were started by another owner; their ends would not be reported here.
      if (resident.running().isEmpty()) {
        changed |= adopt(nowMs, resident.adapter(), resident.handle());
      }
    }
    for (AdapterVersion adapter : status.loading()) {
      if (!holds(adapter) && hasFreeSlot()) {
        addForeignLoad(nowMs, adapter);
        changed = true;
      }
    }
    return changed;
  }

  private static boolean isStale(Slot slot, EndpointStatus status) {
    boolean resident =
        status.residents().stream()
            .anyMatch(
                held ->
                    slot.ready()
                        ? held.handle().equals(slot.handle)
                        : held.adapter().equals(slot.adapter));
    boolean foreignLoad = slot.hung && !slot.ready();
    return !resident && (slot.idle() || (foreignLoad && !status.loading().contains(slot.adapter)));
  }

  /**
   * Records a loaded copy that is not in the slots, if a slot is free for it; returns whether it
   * was recorded.
   */
  boolean adopt(long nowMs, AdapterVersion adapter, LoadHandle handle) {
    Optional<Slot> loading = loading(adapter);
    if (hasHandle(handle) || (loading.isEmpty() && !hasFreeSlot())) {
      return false;
    }
    loading.orElseGet(() -> add(nowMs, adapter)).handle = handle;
    return true;
  }

  Slot add(long nowMs, AdapterVersion adapter) {
    Slot slot = new Slot(this, adapter, nowMs);
    slots.add(slot);
    return slot;
  }

  /** Returns the slot in which a load of the adapter is in progress. */
  Optional<Slot> loading(AdapterVersion adapter) {
    return slots.stream().filter(s -> !s.ready() && s.adapter.equals(adapter)).findFirst();
  }

  boolean holds(AdapterVersion adapter) {
    return slots.stream().anyMatch(slot -> slot.adapter.equals(adapter));
  }

  private boolean hasHandle(LoadHandle handle) {
    return slots.stream().anyMatch(slot -> handle.equals(slot.handle));
  }
}
