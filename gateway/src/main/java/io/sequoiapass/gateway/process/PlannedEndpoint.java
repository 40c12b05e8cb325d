package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.AdapterId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.EndpointOrder;
import io.sequoiapass.gateway.spi.EndpointReport;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.EngineSpec;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** A coordinator's record of one of its engines; guarded by the lock of its plan. */
final class PlannedEndpoint {

  EndpointEntry entry;
  EngineSpec engine;
  final Map<AdapterName, Copy> copies = new HashMap<>();
  final AdapterCacheModel cachedAdapters;
  final Set<ModelId> models = new HashSet<>();
  final Deque<Step> steps = new ArrayDeque<>();
  long sequence;

  /** Prompt reading speed, in tokens per millisecond. */
  double tokensPerMs = EndpointGroup.FIRST_TOKENS_PER_MS;

  boolean synced;
  boolean reportPending;
  boolean unloadReportPending;
  long unloadReportAt;
  boolean ordering;
  int unansweredOrders;
  long noOrdersUntil;
  long ignoreEntryModelsUntil;
  boolean reportedEmpty;

  PlannedEndpoint(EndpointEntry entry, EngineSpec engine, AdapterCacheDepthEstimator depth) {
    this.entry = entry;
    this.engine = engine;
    this.cachedAdapters = new AdapterCacheModel(depth::reach);
  }

  /** State of a copy. */
  enum State {
    /** Held, or loading until its expected time. */
    HELD,
    /** The order to load it has not been sent yet. */
    PLANNED,
    /** Being unloaded; occupies its slot until it is known to be unloaded. */
    LEAVING
  }

  /** One adapter, from the plan to load it until it is unloaded. */
  static final class Copy {
    long version;
    State state;
    long readyAt;
    long lastUsed;
    long publishedReadyAt;
    boolean replaces;

    /** The engine's order count when it accepted the unload; negative if it has not. */
    long unloadSequence = -1;

    /** Whether a daemon has reported a request that uses it. */
    boolean used;

    /** The load whose outcome is not known yet; null if there is none. */
    LoadInProgress load;

    Copy(long version, State state, long readyAt, long lastUsed) {
      this.version = version;
      this.state = state;
      this.readyAt = readyAt;
      this.lastUsed = lastUsed;
    }
  }

  /**
   * One order that is to be sent.
   *
   * @param type the type of the order
   * @param model the base model
   * @param adapter the adapter; empty for the base model
   * @param version the version to load; empty for the newest
   */
  record Step(
      EndpointOrder.Type type, ModelId model, Optional<AdapterId> adapter, OptionalLong version) {

    Optional<AdapterName> name() {
      return adapter.map(known -> new AdapterName(model, known));
    }
  }

  /** Replaces the record by the engine's own report and drops all planned orders. */
  void adopt(EndpointReport report, long now, long loadMs) {
    Map<AdapterName, Copy> before = new HashMap<>(copies);
    copies.clear();
    models.clear();
    report
        .models()
        .forEach(
            held -> {
              models.add(held.model());
              held.adapters()
                  .forEach(
                      (adapter, version) ->
                          hold(new AdapterName(held.model(), adapter), version, now, before));
            });
    report.loading().forEach((name, version) -> hold(name, version, now + loadMs, before));
    sequence = report.sequence();
    steps.clear();
    synced = true;
  }

  private void hold(AdapterName name, long version, long readyAt, Map<AdapterName, Copy> before) {
    Copy known = before.get(name);
    long lastUsed = known == null ? readyAt : known.lastUsed;
    long ready = known == null ? readyAt : known.readyAt;
    Copy copy = new Copy(version, State.HELD, ready, lastUsed);
    copy.used = known == null || known.used;
    if (known != null && known.unloadSequence >= 0) {
      copy.state = State.LEAVING;
      copy.unloadSequence = known.unloadSequence;
    }
    copies.put(name, copy);
    cachedAdapters.held(name);
  }

  /** Replaces the record by the engine's list entry, until its own report arrives. */
  void adoptEntry(long now) {
    adopt(new EndpointReport(entry.models(), Map.of(), false, 0), now, 0);
    synced = false;
  }

  /** Keeps an adapter until a time, in milliseconds. */
  void keep(AdapterName adapter, long until) {
    Copy copy = copies.get(adapter);
    if (copy != null) {
      copy.lastUsed = Math.max(copy.lastUsed, until);
    }
  }

  /** Returns the number of occupied slots, including those of adapters that are being unloaded. */
  int occupiedSlots() {
    int count = 0;
    for (Copy copy : copies.values()) {
      count += copy.state != State.PLANNED || copy.replaces ? 1 : 0;
    }
    return count;
  }

  /** Returns whether an unload that the engine accepted is not known to be complete. */
  boolean hasUnloading() {
    return copies.values().stream().anyMatch(copy -> copy.unloadSequence >= 0);
  }

  /** Removes the copies that a report shows to be unloaded. */
  void removeUnloaded(EndpointReport report) {
    Set<AdapterName> held = new HashSet<>();
    report
        .models()
        .forEach(
            model ->
                model
                    .adapters()
                    .keySet()
                    .forEach(adapter -> held.add(new AdapterName(model.model(), adapter))));
    copies
        .entrySet()
        .removeIf(
            copy ->
                copy.getValue().unloadSequence >= 0
                    && copy.getValue().unloadSequence <= report.sequence()
                    && !held.contains(copy.getKey()));
  }

  int loadsInProgress(long now) {
    int count = 0;
    for (Copy copy : copies.values()) {
      if (copy.state == State.PLANNED || copy.readyAt > now) {
        count++;
      }
    }
    return count;
  }

  /** Returns the adapters with running requests or a load in progress. */
  Set<AdapterName> inUse(Set<AdapterName> running, long now) {
    Set<AdapterName> found = new HashSet<>(running);
    copies.forEach(
        (name, copy) -> {
          if (copy.state == State.PLANNED || copy.readyAt > now) {
            found.add(name);
          }
        });
    return found;
  }

  /** Returns whether it holds or is to load an adapter that is not being unloaded. */
  boolean holds(AdapterName adapter, long version) {
    Copy copy = copies.get(adapter);
    return copy != null && copy.state != State.LEAVING && copy.version >= version;
  }

  /** Returns whether an adapter is planned or loading. */
  boolean isLoading(AdapterName adapter, long now) {
    Copy copy = copies.get(adapter);
    return copy != null
        && copy.state != State.LEAVING
        && (copy.state == State.PLANNED || copy.readyAt > now);
  }

  /** Returns whether a load lacks a free slot. */
  boolean lacksSlot(Step step) {
    if (step.type() != EndpointOrder.Type.LOAD || step.name().isEmpty()) {
      return false;
    }
    Copy copy = copies.get(step.name().get());
    boolean needsSlot = copy != null && !copy.replaces;
    return needsSlot && occupiedSlots() >= engine.adapterSlots();
  }

  /**
   * Returns whether a report is older than the order to load a base model. Such a report shows an
   * empty engine, which would be ordered to load a second model and crash.
   */
  boolean isOlderThanModel(EndpointReport report, long now) {
    return now < ignoreEntryModelsUntil && report.sequence() < sequence;
  }
}
