package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.ModelId;
import io.sequoiapass.coordination.connection.EndpointPermits;
import io.sequoiapass.coordination.connection.RoomEstimator;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;

/** This daemon's state of one endpoint; guarded by the lock of its {@link EndpointGroup}. */
final class EndpointState {

  /** The endpoint is not going to be removed. */
  static final long NEVER = Long.MAX_VALUE;

  EndpointEntry entry;
  long retiredAt = NEVER;
  Load own = Load.NONE;
  final DecayingSum recent = new DecayingSum();
  EndpointSpeedEstimator slowdown = new EndpointSpeedEstimator();
  final EndpointStallDetector stalls = new EndpointStallDetector();
  final EndpointSilence silence = new EndpointSilence();
  Load others = Load.NONE;
  private long othersAt = NEVER;
  final Map<AdapterName, Copy> copies = new HashMap<>();
  final CanaryRequests canaries = new CanaryRequests();
  final Map<AdapterName, Integer> inUse = new HashMap<>();
  final Map<AdapterName, Integer> starts = new HashMap<>();
  PrefixCacheModel prompts = new PrefixCacheModel();
  AdapterCacheModel cachedAdapters;
  EndpointPermits permits;
  RoomEstimator room = new RoomEstimator();

  /** The limit that the endpoint has named, in requests a second; empty for any number. */
  OptionalDouble namedLimit = OptionalDouble.empty();

  /** Whether the endpoint has stated in an answer that it leaves; its list entry may lag behind. */
  boolean leavingStated;

  /** Whether its process may be another one than that of its entry. */
  Optional<ProcessDoubt> doubt = Optional.empty();

  /** Until when the endpoint accepts no requests from this daemon, in milliseconds. */
  long restsUntil = Long.MIN_VALUE;

  private final DoubleSupplier random;
  private final IntSupplier cacheDepth;

  EndpointState(EndpointEntry entry, IntSupplier cacheDepth, DoubleSupplier random) {
    this.entry = entry;
    this.random = random;
    this.permits = new EndpointPermits(random);
    this.cacheDepth = cacheDepth;
    this.cachedAdapters = new AdapterCacheModel(cacheDepth);
  }

  /**
   * One adapter at the endpoint.
   *
   * @param version its version
   * @param readyAt when it is loaded, in milliseconds of the monotonic clock
   * @param loading whether that is an estimate
   */
  record Copy(long version, long readyAt, boolean loading) {

    /** Returns a copy as its coordinator reports it. */
    static Copy reported(LinkMessage.Placement placement, long now) {
      long readyInMs = placement.readyInMs();
      return new Copy(placement.version(), now + readyInMs, readyInMs > 0);
    }
  }

  /**
   * Returns whether the endpoint's software may serve a request: any if the request begins, else
   * the version that began it, which has to be known.
   */
  boolean allows(Demand demand) {
    return demand.allows(entry.software()) && (demand.software().isEmpty() || doubt.isEmpty());
  }

  /** Records that a connection was lost, so that the process may have ended. */
  void connectionLost(long now) {
    doubt = doubt.or(() -> Optional.of(new ProcessDoubt(now)));
  }

  /** Records that the process is that of the entry, and has been all the time. */
  void processConfirmed() {
    doubt.ifPresent(one -> one.confirmed(entry.software()));
    doubt = Optional.empty();
  }

  /** Replaces the adapters by those of the endpoint's list entry, which may be outdated. */
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
                                new AdapterName(held.model(), adapter),
                                new Copy(version, now, false))));
  }

  /**
   * Returns whether the endpoint holds a base model. Its entry is up to a heartbeat old, so an
   * adapter that a coordinator reports there also proves that its base model is loaded.
   */
  boolean holdsModel(ModelId model) {
    return entry.models().stream().anyMatch(held -> held.model().equals(model))
        || copies.keySet().stream().anyMatch(name -> name.model().equals(model));
  }

  /**
   * Sets the load of the other daemons' requests; returns the time since it was last set, in
   * milliseconds, if it was.
   */
  OptionalLong updateOthers(Load load, long now) {
    OptionalLong sinceLast =
        othersAt == NEVER ? OptionalLong.empty() : OptionalLong.of(now - othersAt);
    others = load;
    othersAt = now;
    return sinceLast;
  }

  /** Returns this daemon's usage, and resets the count of starts. */
  EndpointUsage takeUsage(long now) {
    Map<AdapterName, EndpointUsage.AdapterUse> uses = new HashMap<>();
    inUse.forEach((name, count) -> uses.put(name, new EndpointUsage.AdapterUse(name, count, 0)));
    starts.forEach(
        (name, count) ->
            uses.put(name, new EndpointUsage.AdapterUse(name, inUse.getOrDefault(name, 0), count)));
    starts.clear();
    return new EndpointUsage(entry.endpoint(), own(now), List.copyOf(uses.values()));
  }

  /** Returns the load of this daemon's own requests. */
  Load own(long now) {
    return own.plus(new Load(0, 0, 0, recent.value(now)));
  }

  /** An exponentially decaying sum. */
  static final class DecayingSum {
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

  /** Records that the endpoint asks for rest; an earlier and longer rest is not shortened. */
  void rest(long restMs, long now) {
    restsUntil = Math.max(restsUntil, now + restMs);
  }

  boolean isResting(long now) {
    return now < restsUntil;
  }

  boolean takesWork(long now) {
    return !entry.leaving() && !leavingStated && now < retiredAt;
  }

  /** Returns whether it accepts requests and holds or loads an adapter. */
  boolean holds(AdapterName adapter, long now) {
    return takesWork(now) && copies.containsKey(adapter);
  }

  /**
   * Clears the state of an earlier process under the same name, whose memory was lost with it. A
   * rest remains: answers do not name their process, and those of the new one can arrive before its
   * entry.
   */
  void restarted() {
    doubt = Optional.empty();
    copies.clear();
    canaries.clear();
    prompts = new PrefixCacheModel();
    slowdown = new EndpointSpeedEstimator();
    cachedAdapters = new AdapterCacheModel(cacheDepth);
    others = Load.NONE;
    othersAt = NEVER;
    permits = new EndpointPermits(random);
    room = new RoomEstimator();
    namedLimit = OptionalDouble.empty();
    leavingStated = false;
  }
}
