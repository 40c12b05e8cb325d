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

/** What the owner knows exactly of one endpoint, since it gives all orders and sends all work. */
final class EndpointState {

  /** One slot that is not free. */
  static final class Slot {
    final EndpointState endpoint;
    final AdapterVersion adapter;
    final long loadedAtMs;
    LoadHandle handle;
    int streams;
    boolean hung;

    Slot(EndpointState endpoint, AdapterVersion adapter, long loadedAtMs) {
      this.endpoint = endpoint;
      this.adapter = adapter;
      this.loadedAtMs = loadedAtMs;
    }

    boolean ready() {
      return handle != null;
    }

    /** Tells whether the adapter may be evicted as far as running work goes. */
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

  boolean hasStreamPlace() {
    return streams < maxStreams;
  }

  boolean hasFreeSlot() {
    return slots.size() < maxSlots;
  }

  /** Takes a slot for a load that this owner did not order; its turn is not counted here. */
  void addForeign(long nowMs, AdapterVersion adapter) {
    add(nowMs, adapter).hung = true;
  }

  /**
   * Takes over what the engine says it holds where that differs from what its orders' answers told:
   * a load of a former owner that ended since, or one whose answer was lost. Without it a slot that
   * counts as free here is not: every load into it is refused, for as long as the engine runs. To
   * be called with a status read while no order was under way, so it cannot be older than one.
   *
   * @return whether anything differed
   */
  boolean reconcile(long nowMs, EndpointStatus status) {
    boolean changed = slots.removeIf(slot -> isGone(slot, status));
    for (Resident resident : status.residents()) {
      // What runs there was started by another owner; its end would not be heard of here.
      if (resident.running().isEmpty()) {
        changed |= adopt(nowMs, resident.adapter(), resident.handle());
      }
    }
    for (AdapterVersion adapter : status.loading()) {
      if (!holds(adapter) && hasFreeSlot()) {
        addForeign(nowMs, adapter);
        changed = true;
      }
    }
    return changed;
  }

  private static boolean isGone(Slot slot, EndpointStatus status) {
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

  /** Takes in a copy that is not known here, if a slot is left for it; returns whether it was. */
  boolean adopt(long nowMs, AdapterVersion adapter, LoadHandle handle) {
    Optional<Slot> loading = loading(adapter);
    if (knows(handle) || (loading.isEmpty() && !hasFreeSlot())) {
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

  /** Returns the slot whose load is under way. */
  Optional<Slot> loading(AdapterVersion adapter) {
    return slots.stream().filter(s -> !s.ready() && s.adapter.equals(adapter)).findFirst();
  }

  boolean holds(AdapterVersion adapter) {
    return slots.stream().anyMatch(slot -> slot.adapter.equals(adapter));
  }

  private boolean knows(LoadHandle handle) {
    return slots.stream().anyMatch(slot -> handle.equals(slot.handle));
  }
}
