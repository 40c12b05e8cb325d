package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.connection.EndpointHealth;
import io.sequoiapass.coordination.connection.HealthSettings;
import io.sequoiapass.coordination.request.ErrorKind;
import io.sequoiapass.gateway.connection.LinkMessage;
import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.spi.EndpointEntry;
import io.sequoiapass.gateway.spi.EndpointNotice;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.EngineSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The endpoints of one service with their load, adapters and health: one shard of the daemon's
 * state, under its own lock.
 *
 * <p>Safe for use by several threads.
 */
public final class EndpointGroup {

  /**
   * Each of several daemons sends few requests to an endpoint, so two failures in a row count;
   * windows are short, since an endpoint that fails a share of its requests does so for seconds.
   */
  private static final HealthSettings HEALTH =
      new HealthSettings(2, 400, 4_000, 4_000, 4, 0.25, 0.34);

  /** Initial estimate of the prompt reading speed, in tokens per millisecond. */
  static final double FIRST_TOKENS_PER_MS = 25;

  /** Reading speed of a prompt that is read alone, until one was, in tokens per millisecond. */
  static final double FIRST_READING_TOKENS_PER_MS = 40;

  /** Initial estimate of the time of a plain call, in milliseconds. */
  private static final double FIRST_SERVICE_MS = 60;

  /** Initial estimate of the time of a generation, in milliseconds. */
  private static final double FIRST_GENERATION_MS = 2_000;

  /** Time to the first token beyond the reading of the prompt, in milliseconds. */
  static final double FIRST_TOKEN_MS = 15;

  /**
   * A load that is later than this has failed, in milliseconds. Loads among many concurrent ones
   * take several times as long as one alone.
   */
  private static final long LATE_LOAD_MS = 1_500;

  /** Largest number of engines that a request names when it asks for a turn. */
  private static final int MAX_ALTERNATIVES = 6;

  private final AdapterVersions versions;
  private final EndpointChooser chooser;
  final EndpointHealth health = new EndpointHealth(HEALTH);
  private final Map<EndpointId, EndpointState> endpoints = new TreeMap<>();
  final MovingAverage tokensPerMs = new MovingAverage(FIRST_TOKENS_PER_MS, 4, 400);
  final ReadingSpeedEstimator readingSpeed = new ReadingSpeedEstimator(FIRST_READING_TOKENS_PER_MS);
  private final Map<DataCentreId, LoadTimeEstimates> loadTimes = new HashMap<>();
  final MovingAverage generationMs = new MovingAverage(FIRST_GENERATION_MS, 1, 60_000);
  final MovingAverage serviceMs = new MovingAverage(FIRST_SERVICE_MS, 1, 10_000);
  final Consumer<DataCentreId> onIdle;
  private final DoubleSupplier random;
  private final CandidateSource candidates;
  private final UnavailableEndpoints unavailable;
  final ConnectionCost connections;
  private SendGate gate;
  Consumer<EndpointEntry> verifier = entry -> {};
  private PermitChoice permitChoice;
  private SpillSource spill = SpillSource.NONE;
  EndpointSpeeds speeds = EndpointSpeeds.NONE;
  Optional<EngineSpec> engine = Optional.empty();

  /**
   * Creates an empty group.
   *
   * @param here this daemon's data centre
   * @param versions the newest versions
   * @param onIdle called when the last of this daemon's requests for an adapter has ended at an
   *     endpoint of a data centre; must not block
   * @param random draws from 0 (inclusive) to 1 (exclusive)
   */
  EndpointGroup(
      DataCentreId here,
      AdapterVersions versions,
      Consumer<DataCentreId> onIdle,
      DoubleSupplier random) {
    this.chooser = new EndpointChooser(new LoadUncertainty(random));
    this.random = random;
    this.versions = versions;
    this.onIdle = onIdle;
    this.candidates = new CandidateSource(this, endpoints, here, versions);
    this.unavailable =
        new UnavailableEndpoints(endpoints.values(), candidates, entry -> verifier.accept(entry));
    this.connections = new ConnectionCost(endpoints, health);
    usePermits(PermitSource.NONE);
  }

  /** Returns how many endpoints this daemon prefers; the number of all if it prefers none. */
  synchronized int preferredEndpoints() {
    return connections.preferred();
  }

  /** Sets the connections to the endpoints; without them the choice does not consider any. */
  synchronized void useConnections(ConnectionSource source) {
    connections.use(source);
  }

  /** Sets what finds out which process an endpoint is. */
  final synchronized void useVerifier(Consumer<EndpointEntry> newVerifier) {
    verifier = newVerifier;
  }

  /** Records that an endpoint's entry was read after a connection to it had been opened. */
  synchronized void verified(EndpointEntry entry) {
    EndpointState state = endpoints.get(entry.endpoint());
    if (state != null && state.entry.equals(entry)) {
      state.processConfirmed();
    }
  }

  /** Records that an endpoint could not be verified. */
  synchronized void verificationFailed(EndpointId endpoint, long now) {
    Optional.ofNullable(endpoints.get(endpoint))
        .flatMap(state -> state.doubt)
        .ifPresent(doubt -> doubt.verificationFailed(now));
  }

  /** Sets where permits come from. */
  final synchronized void usePermits(PermitSource source) {
    gate = new SendGate(source);
    permitChoice = new PermitChoice(endpoints, gate, this::usualMs);
  }

  /** Sets what all daemons together know of the speeds of endpoints. */
  final synchronized void useSpeeds(EndpointSpeeds newSpeeds) {
    speeds = newSpeeds;
  }

  /** Sets where requests go while demand is shared out between data centres. */
  final synchronized void useSpill(SpillSource source) {
    spill = source;
  }

  synchronized void configure(Optional<EngineSpec> spec) {
    engine = spec;
  }

  /** Applies a list entry; returns whether a new process runs under a known name. */
  synchronized boolean put(EndpointEntry entry, boolean coordinated, long now) {
    EndpointState state = endpoints.get(entry.endpoint());
    if (state == null) {
      state = new EndpointState(entry, () -> loadTimes(entry.dataCentre()).cacheDepth(), random);
      endpoints.put(entry.endpoint(), state);
      connections.listChanged();
    }
    boolean restarted =
        state.entry.startTimeMs() != entry.startTimeMs()
            || !state.entry.software().equals(entry.software());
    state.entry = entry;
    state.retiredAt = EndpointState.NEVER;
    if (restarted) {
      state.restarted();
    }
    if (!coordinated) {
      state.adoptEntryCopies(now);
    }
    return restarted;
  }

  /** Sends an endpoint no more requests from a time on. */
  synchronized void retireAt(EndpointId endpoint, long at) {
    EndpointState state = endpoints.get(endpoint);
    if (state != null) {
      state.retiredAt = Math.min(state.retiredAt, at);
    }
  }

  /** Removes endpoints that were retired before a time and have no requests of this daemon. */
  synchronized void prune(long before) {
    boolean removed =
        endpoints.values().removeIf(state -> state.retiredAt < before && state.own.running() == 0);
    health.retain(endpoints.keySet());
    if (removed) {
      connections.listChanged();
    }
  }

  /** Chooses the next action for a request. */
  public synchronized Choice choose(Demand demand, EndpointChooser.Loadable loadable, long now) {
    Choice choice = chooseAccepting(demand, loadable, now);
    boolean none =
        choice instanceof Choice.Refuse refusal && refusal.kind() == ErrorKind.NO_ENDPOINT;
    return none
        ? unavailable.consider((Choice.Refuse) choice, demand, (long) serviceMs.value(), now)
        : choice;
  }

  /** Chooses among the endpoints that do not rest. */
  private Choice chooseAccepting(Demand demand, EndpointChooser.Loadable loadable, long now) {
    List<Candidate> healthy = candidates.of(demand, now, true);
    // An endpoint that failed before is better than a refusal.
    List<Candidate> able = healthy.isEmpty() ? candidates.of(demand, now, false) : healthy;
    Optional<SpillRoute> route =
        spill
            .route(demand.generation().flatMap(Generation::adapter), loadable.dataCentres(), now)
            .filter(one -> one.isServed(able));
    double callMs = demand.generation().isPresent() ? 0 : serviceMs.value();
    List<Candidate> all = route.map(one -> one.weigh(able, callMs)).orElse(able);
    EndpointChooser.Loadable planned =
        route.map(one -> loadable.withHome(one.place())).orElse(loadable);
    Choice choice = choose(all, demand, planned);
    return permitChoice.adapt(
        choice, all, demand, permitted -> choose(permitted, demand, planned), now);
  }

  private Choice choose(
      List<Candidate> candidates, Demand demand, EndpointChooser.Loadable loadable) {
    if (demand.generation().isEmpty()) {
      return chooser.forCall(candidates, serviceMs.value(), demand.remainingMs());
    }
    return chooser.forGeneration(
        candidates, demand.generation().get(), tokensPerMs.value(), demand.remainingMs(), loadable);
  }

  /** Handles a coordinator's reply to an ask for a permit. */
  synchronized void permitReplied(LinkMessage.PermitReply reply, long now) {
    EndpointState state = endpoints.get(reply.endpoint());
    if (state != null) {
      reply.type().apply(state.permits, reply.waitMs(), now);
    }
  }

  /** Records what an answer to a call of the coordinator states. */
  synchronized void noticed(EndpointId endpoint, EndpointNotice notice, long sentAt, long now) {
    EndpointState state = endpoints.get(endpoint);
    if (state != null) {
      noticed(state, notice, false, sentAt, now);
    }
  }

  /** Records what an answer states; returns whether the limit has changed. */
  boolean noticed(
      EndpointState state, EndpointNotice notice, boolean byEndpoint, long sentAt, long now) {
    state.leavingStated |= notice.leaving();
    notice.restMs().ifPresent(restMs -> state.rest(restMs, now));
    if (byEndpoint
        && state.room.stated(notice.rejectionsPerS(), sentAt, now)
        && state.room.isBrittle()) {
      presumeBrittle(notice.rejectionsPerS(), sentAt, now);
    }
    if (byEndpoint || notice.requestsPerS().isPresent()) {
      state.namedLimit = notice.requestsPerS();
    }
    OptionalDouble limit = limit(state, notice, now);
    return (byEndpoint || limit.isPresent()) && state.permits.named(limit, sentAt, now);
  }

  /** The endpoints of a service become brittle together; each answer tells about one of them. */
  private void presumeBrittle(OptionalInt rejectionsPerS, long sentAt, long now) {
    for (EndpointState state : endpoints.values()) {
      if (state.room.stated(rejectionsPerS, sentAt, now)) {
        state.permits.named(roomPerS(state, now), sentAt, now);
      }
    }
  }

  /** Returns the limit that an answer names; a brittle endpoint needs one that is not named. */
  private OptionalDouble limit(EndpointState state, EndpointNotice notice, long now) {
    if (notice.requestsPerS().isPresent() || !state.room.isBrittle()) {
      return notice.requestsPerS();
    }
    return state.permits.isLimited() ? state.permits.limit() : roomPerS(state, now);
  }

  private OptionalDouble roomPerS(EndpointState state, long now) {
    return OptionalDouble.of(state.room.requestsPerS(state.entry.slots(), usualMs(), now));
  }

  /** Returns how long a request usually takes a slot, in milliseconds. */
  double usualMs() {
    return engine.isPresent() ? generationMs.value() : serviceMs.value();
  }

  /**
   * Returns the endpoints that a request must not use: those that failed it, unhealthy ones, those
   * that leave or rest, those that accept only so many requests, and those of another software
   * version. If there are no others, only the last.
   */
  public synchronized Set<EndpointId> excluded(Demand demand, long now) {
    Set<EndpointId> unsuitable = new HashSet<>();
    Set<EndpointId> excluded = new HashSet<>();
    boolean others = false;
    for (EndpointState state : endpoints.values()) {
      if (!state.allows(demand)) {
        unsuitable.add(state.entry.endpoint());
      } else if (state.leavingStated || state.permits.isLimited() || state.isResting(now)) {
        excluded.add(state.entry.endpoint());
      } else {
        others |= candidates.contains(state, demand, now, true);
      }
    }
    if (others) {
      unsuitable.addAll(excluded);
      unsuitable.addAll(demand.avoid());
      unsuitable.addAll(health.excluded(now));
    }
    return unsuitable;
  }

  /** Returns the endpoints that send nothing although requests of this daemon are open there. */
  public synchronized Set<EndpointId> silent(long now) {
    return endpoints.values().stream()
        .filter(state -> state.silence.isSilent(now))
        .map(state -> state.entry.endpoint())
        .collect(Collectors.toSet());
  }

  LoadTimeEstimates loadTimes(DataCentreId dataCentre) {
    return loadTimes.getOrDefault(dataCentre, LoadTimeEstimates.FIRST);
  }

  /** Sets the estimates of load times in a data centre. */
  synchronized void setLoadTimes(DataCentreId dataCentre, LoadTimeEstimates estimates) {
    loadTimes.put(dataCentre, estimates);
  }

  /**
   * Records that a request is sent to an endpoint; the ticket tracks it until its end. Every
   * request to an endpoint needs a ticket. Empty if it may not be sent there now.
   */
  public synchronized Optional<EndpointTicket> begin(EndpointId endpoint, Demand demand, long now) {
    EndpointState state = endpoints.get(endpoint);
    if (state == null
        || !state.allows(demand)
        || !gate.maySend(state, now)
        || candidates.readyInMs(state, demand, now) > 0
        || !state.permits.take(now)) {
      return Optional.empty();
    }
    EndpointTicket ticket = new EndpointTicket(this, state, demand.generation(), now);
    health.sent(endpoint, now);
    connections.sent(now);
    return Optional.of(ticket);
  }

  /** Removes all records of failures. */
  synchronized void resetHealth() {
    health.retain(Set.of());
  }

  /**
   * Returns the engines of the same data centre that could serve a request just as well, the chosen
   * one first.
   */
  public synchronized List<Candidate> alternatives(Candidate chosen, Demand demand, long now) {
    List<Candidate> found = new ArrayList<>(List.of(chosen));
    candidates.of(demand, now, true).stream()
        .filter(candidate -> candidate.dataCentre().equals(chosen.dataCentre()))
        .filter(candidate -> !candidate.endpoint().equals(chosen.endpoint()))
        .filter(candidate -> candidate.readyInMs() == 0)
        .sorted(Comparator.comparingLong(candidate -> candidate.load().prefillTokens()))
        .limit(MAX_ALTERNATIVES - 1)
        .forEach(found::add);
    return found;
  }

  /** Returns the mean time of a plain call to an endpoint, in milliseconds. */
  public synchronized double usualServiceMs(Candidate candidate) {
    return serviceMs.value() * Math.max(1, candidate.slowdown());
  }

  /**
   * Returns the prompt reading speed of an engine, in tokens per millisecond.
   *
   * @param endpoint the engine
   * @param now the time, in milliseconds
   */
  public synchronized double tokensPerMs(EndpointId endpoint, long now) {
    EndpointState state = endpoints.get(endpoint);
    return tokensPerMs.value() / (state == null ? 1 : slowdown(state, now));
  }

  /** Returns the speed at which engines usually read a prompt alone, in tokens per millisecond. */
  public synchronized double usualReadingTokensPerMs() {
    return readingSpeed.tokensPerMs();
  }

  /**
   * Returns the speed at which an engine reads a prompt alone, in tokens per millisecond.
   *
   * @param endpoint the engine
   * @param now the time, in milliseconds
   */
  synchronized double readingTokensPerMs(EndpointId endpoint, long now) {
    EndpointState state = endpoints.get(endpoint);
    return readingSpeed.tokensPerMs() / (state == null ? 1 : slowdown(state, now));
  }

  /** Returns an endpoint's response time relative to the average, as far as it is known. */
  double slowdown(EndpointState state, long now) {
    return state.slowdown.value(speeds.slowdown(state.entry, now), now);
  }

  /** Replaces the adapters of an endpoint by its coordinator's report. */
  synchronized void replaceCopies(
      EndpointId endpoint, Map<AdapterName, EndpointState.Copy> copies) {
    EndpointState state = endpoints.get(endpoint);
    if (state != null) {
      Set<AdapterName> left = new HashSet<>(state.copies.keySet());
      left.removeAll(copies.keySet());
      left.forEach(state.prompts::removeAdapter);
      left.forEach(state.canaries::remove);
      state.copies.clear();
      state.copies.putAll(copies);
      copies.keySet().forEach(state.cachedAdapters::held);
    }
  }

  /** Returns whether an endpoint outside a data centre holds or loads an adapter. */
  synchronized boolean isHeldOutside(DataCentreId dataCentre, AdapterName adapter, long now) {
    return endpoints.values().stream()
        .filter(state -> !state.entry.dataCentre().equals(dataCentre))
        .anyMatch(state -> state.holds(adapter, now));
  }

  synchronized boolean isHeld(AdapterName adapter, long now) {
    return endpoints.values().stream().anyMatch(state -> state.holds(adapter, now));
  }

  /**
   * A copy of an adapter and its data centre.
   *
   * @param dataCentre the data centre
   * @param placement the copy
   */
  record LocatedCopy(DataCentreId dataCentre, LinkMessage.Placement placement) {}

  /** Returns the copies of an adapter that are not older than a version. */
  synchronized Stream<LocatedCopy> copies(AdapterName adapter, long version, long now) {
    List<LocatedCopy> found = new ArrayList<>();
    for (EndpointState state : endpoints.values()) {
      EndpointState.Copy copy = state.copies.get(adapter);
      if (state.takesWork(now) && copy != null && copy.version() >= version) {
        LinkMessage.Placement placement =
            new LinkMessage.Placement(
                state.entry.endpoint(), adapter, copy.version(), Math.max(0, copy.readyAt() - now));
        found.add(new LocatedCopy(state.entry.dataCentre(), placement));
      }
    }
    return found.stream();
  }

  /** Returns the adapters that an endpoint held recently, the most recent one last. */
  synchronized List<AdapterName> recentAdapters(EndpointId endpoint) {
    EndpointState state = endpoints.get(endpoint);
    return state == null ? List.of() : state.cachedAdapters.all();
  }

  /** Removes an adapter from the cache models, since the cached versions are outdated. */
  synchronized void removeFromCaches(AdapterName adapter) {
    endpoints.values().forEach(state -> state.cachedAdapters.remove(adapter));
  }

  /** Sets the copy of an adapter at an endpoint; null if it was unloaded. */
  synchronized void setCopy(EndpointId endpoint, AdapterName adapter, EndpointState.Copy copy) {
    EndpointState state = endpoints.get(endpoint);
    if (state == null) {
      return;
    }
    if (copy == null) {
      state.copies.remove(adapter);
      state.canaries.remove(adapter);
      state.prompts.removeAdapter(adapter);
    } else {
      state.copies.put(adapter, copy);
      state.cachedAdapters.held(adapter);
    }
  }

  /**
   * Postpones the expected arrival of an adapter that an endpoint has refused, unless it is long
   * overdue.
   *
   * @param endpoint the endpoint
   * @param adapter the adapter
   * @param now the time, in milliseconds
   * @param readyAt the new expected arrival, in milliseconds
   * @return false if it is long overdue
   */
  public synchronized boolean postpone(
      EndpointId endpoint, AdapterName adapter, long now, long readyAt) {
    EndpointState state = endpoints.get(endpoint);
    EndpointState.Copy copy = state == null ? null : state.copies.get(adapter);
    if (copy == null || now - copy.readyAt() > LATE_LOAD_MS) {
      return false;
    }
    long later = Math.max(copy.readyAt(), readyAt);
    state.copies.put(adapter, new EndpointState.Copy(copy.version(), later, true));
    return true;
  }

  /** Records that an endpoint reported an adapter missing; the coordinator handles the cause. */
  public synchronized void absent(EndpointId endpoint, AdapterName adapter) {
    EndpointState state = endpoints.get(endpoint);
    if (state != null) {
      state.copies.remove(adapter);
    }
  }

  /** Removes the load of other daemons in a data centre whose coordinator is disconnected. */
  synchronized void clearOthers(DataCentreId dataCentre) {
    for (EndpointState state : endpoints.values()) {
      if (state.entry.dataCentre().equals(dataCentre)) {
        state.others = Load.NONE;
      }
    }
  }

  /** Sets the other daemons' load in a data centre; endpoints that are not listed have none. */
  synchronized void setOthers(DataCentreId dataCentre, Map<EndpointId, Load> loads, long now) {
    for (EndpointState state : endpoints.values()) {
      if (state.entry.dataCentre().equals(dataCentre)) {
        Load load = loads.getOrDefault(state.entry.endpoint(), Load.NONE);
        state.updateOthers(load, now).ifPresent(chooser::loadReported);
      }
    }
  }

  /**
   * Returns this daemon's usage of the endpoints of a data centre, and resets the count of starts.
   */
  synchronized List<EndpointUsage> takeUsage(DataCentreId dataCentre, long now) {
    List<EndpointUsage> usages = new ArrayList<>();
    for (EndpointState state : endpoints.values()) {
      if (!state.entry.dataCentre().equals(dataCentre)) {
        continue;
      }
      if (state.own.running() == 0 && state.starts.isEmpty()) {
        continue;
      }
      usages.add(state.takeUsage(now));
    }
    return usages;
  }

  /** Returns an endpoint's address and the adapter version that it must have for a request. */
  public synchronized Optional<Target> target(EndpointId endpoint, Demand demand, long now) {
    EndpointState state = endpoints.get(endpoint);
    if (state == null) {
      return Optional.empty();
    }
    Optional<AdapterName> adapter = demand.generation().flatMap(Generation::adapter);
    boolean binding = adapter.isPresent() && versions.isGraceElapsed(adapter.get(), now);
    OptionalLong version =
        binding ? OptionalLong.of(versions.newest(adapter.get())) : OptionalLong.empty();
    return Optional.of(new Target(endpoint, state.entry.address(), version));
  }

  /** Returns the number of loads in progress at the endpoints. */
  synchronized int loadsInProgress(long now) {
    int count = 0;
    for (EndpointState state : endpoints.values()) {
      for (EndpointState.Copy copy : state.copies.values()) {
        count += copy.readyAt() > now ? 1 : 0;
      }
    }
    return count;
  }

  /** Returns the entries of the endpoints that accept new requests. */
  public synchronized List<EndpointEntry> entries(long now) {
    return endpoints.values().stream()
        .filter(state -> state.takesWork(now))
        .map(state -> state.entry)
        .toList();
  }

  synchronized Optional<EngineSpec> engine() {
    return engine;
  }
}
