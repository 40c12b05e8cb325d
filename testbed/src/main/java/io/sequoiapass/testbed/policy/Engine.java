package io.sequoiapass.testbed.policy;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.daemon.process.placement.EndpointStatus;
import io.sequoiapass.daemon.process.placement.LoadHandle;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A simulated engine: adapter slots, and steps that generate one token for each batched stream. */
final class Engine {

  /** Duration of a step with one stream. */
  static final double STEP_MS = 5;

  /** Time that each additional stream adds to a step. */
  static final double STREAM_MS = 0.25;

  /** Time that each additional adapter in the batch adds to a step. */
  static final double ADAPTER_MS = 0.75;

  /** An occupied slot. */
  static final class Slot {
    final AdapterVersion adapter;
    final LoadHandle handle;
    final LoadCause cause;
    final double beginMs;
    double readyMs = Double.NaN;
    int streams;

    Slot(AdapterVersion adapter, LoadHandle handle, LoadCause cause, double beginMs) {
      this.adapter = adapter;
      this.handle = handle;
      this.cause = cause;
      this.beginMs = beginMs;
    }

    boolean ready() {
      return !Double.isNaN(readyMs);
    }
  }

  /** A running request. */
  static final class Stream {
    final Workload.Arrival arrival;
    final Slot slot;
    int tokensLeft;

    Stream(Workload.Arrival arrival, Slot slot, int tokensLeft) {
      this.arrival = arrival;
      this.slot = slot;
      this.tokensLeft = tokensLeft;
    }
  }

  final EndpointId id;
  final ModelId model;
  final int owner;
  final List<Slot> slots = new ArrayList<>();
  final List<Stream> streams = new ArrayList<>();
  double busyMs;
  long tokens;
  int boot;
  private final int maxSlots;
  private final int maxStreams;
  private List<Stream> batch = List.of();

  Engine(EndpointId id, ModelId model, int owner, SimulationConfig config) {
    this.id = id;
    this.model = model;
    this.owner = owner;
    this.maxSlots = config.slots();
    this.maxStreams = config.maxStreams();
  }

  EndpointStatus emptyStatus() {
    return new EndpointStatus(id, model, maxSlots, maxStreams, List.of());
  }

  void evict(LoadHandle handle) {
    Slot slot = slot(handle);
    if (!slot.ready() || slot.streams > 0) {
      throw new IllegalStateException(
          id + " evicts " + slot.adapter + " while it is loading or in use");
    }
    slots.remove(slot);
  }

  Slot load(AdapterVersion adapter, LoadHandle handle, LoadCause cause, double beginMs) {
    if (slots.size() == maxSlots) {
      throw new IllegalStateException(id + " has no free slot for " + adapter);
    }
    Slot slot = new Slot(adapter, handle, cause, beginMs);
    slots.add(slot);
    return slot;
  }

  boolean holds(AdapterVersion adapter) {
    return slots.stream().anyMatch(s -> s.adapter.equals(adapter));
  }

  Slot slot(LoadHandle handle) {
    return slots.stream().filter(s -> s.handle.equals(handle)).findFirst().orElseThrow();
  }

  void start(Workload.Arrival arrival, LoadHandle handle, int tokensLeft) {
    Slot slot = slot(handle);
    if (!slot.ready() || !slot.adapter.equals(arrival.adapter()) || streams.size() == maxStreams) {
      throw new IllegalStateException(id + " can't start " + arrival + " on " + slot.adapter);
    }
    slot.streams++;
    streams.add(new Stream(arrival, slot, tokensLeft));
  }

  boolean stepping() {
    return !batch.isEmpty();
  }

  /** Begins a step over the current streams and returns its duration in milliseconds. */
  double beginStep() {
    batch = List.copyOf(streams);
    Set<AdapterVersion> adapters = new HashSet<>();
    for (Stream stream : batch) {
      adapters.add(stream.slot.adapter);
    }
    double length = STEP_MS + STREAM_MS * (batch.size() - 1) + ADAPTER_MS * (adapters.size() - 1);
    return length;
  }

  /** Ends the step and returns the streams that are complete. */
  List<Stream> endStep(double lengthMs, boolean measured) {
    if (measured) {
      busyMs += lengthMs;
      tokens += batch.size();
    }
    List<Stream> ended = new ArrayList<>();
    for (Stream stream : batch) {
      if (--stream.tokensLeft == 0) {
        stream.slot.streams--;
        streams.remove(stream);
        ended.add(stream);
      }
    }
    batch = List.of();
    return ended;
  }

  /** Restarts without adapters and returns the streams that were lost. */
  List<Stream> restart() {
    List<Stream> lost = List.copyOf(streams);
    streams.clear();
    slots.clear();
    batch = List.of();
    boot++;
    return lost;
  }
}
