package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/** What this daemon knows of one endpoint; guarded by the lock of its {@link EndpointGroup}. */
final class EndpointState {

  /** Never: the endpoint is not known to go. */
  static final long STAYS = Long.MAX_VALUE;

  EndpointEntry entry;
  long goneAt = STAYS;
  Load own = Load.NONE;
  final Recent recent = new Recent();
  EndpointSpeedEstimator slowdown = new EndpointSpeedEstimator();
  final EndpointStallDetector stalls = new EndpointStallDetector();
  Load others = Load.NONE;
  final Map<AdapterName, Copy> copies = new HashMap<>();
  final Map<AdapterName, Integer> inUse = new HashMap<>();
  final Map<AdapterName, Integer> starts = new HashMap<>();
  PrefixCacheModel prompts = new PrefixCacheModel();
  AdapterCacheModel kept;
  private final IntSupplier cacheDepth;

  EndpointState(EndpointEntry entry, IntSupplier cacheDepth) {
    this.entry = entry;
    this.cacheDepth = cacheDepth;
    this.kept = new AdapterCacheModel(cacheDepth);
  }

  /**
   * One adapter at the endpoint.
   *
   * @param version its version
   * @param readyAt when it is there, in milliseconds of the monotonic clock
   */
  record Copy(long version, long readyAt) {}

  /** Takes what the endpoint's entry says of its adapters, as of some time ago. */
  void adoptEntryCopies(long now) {
    copies.clear();
    entry
        .models()
        .forEach(
            held ->
                held.adapters()
                    .forEach(
                        (adapter, version) ->
                            copies.put(
                                new AdapterName(held.model(), adapter), new Copy(version, now))));
  }

  /**
   * The endpoint's entry is up to a heartbeat old; where a coordinator reports an adapter there,
   * its base model is there, too.
   */
  boolean holdsModel(ModelId model) {
    return entry.models().stream().anyMatch(held -> held.model().equals(model))
        || copies.keySet().stream().anyMatch(name -> name.model().equals(model));
  }

  /** Returns what this daemon's own requests ask of the endpoint. */
  Load own(long now) {
    return own.plus(new Load(0, 0, 0, recent.value(now)));
  }

  /** A sum in which what is older counts less. */
  static final class Recent {
    private double sum;
    private long at;

    void add(long tokens, long now) {
      sum = value(now) + tokens;
      at = now;
    }

    long value(long now) {
      return (long) (sum * Math.exp((at - now) / EngineCost.RECENT_MS));
    }
  }

  boolean takesWork(long now) {
    return !entry.leaving() && now < goneAt;
  }

  /** Returns whether it takes work and has an adapter, or has it on its way. */
  boolean holds(AdapterName adapter, long now) {
    return takesWork(now) && copies.containsKey(adapter);
  }

  /** Forgets all of an earlier process under the same name: it took its memory along. */
  void restarted() {
    copies.clear();
    prompts = new PrefixCacheModel();
    slowdown = new EndpointSpeedEstimator();
    kept = new AdapterCacheModel(cacheDepth);
    others = Load.NONE;
  }
}
