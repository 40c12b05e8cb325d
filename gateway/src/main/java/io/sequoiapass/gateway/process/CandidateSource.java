package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.process.RendezvousHash;
import io.sequoiapass.gateway.request.Generation;
import io.sequoiapass.gateway.version.AdapterName;
import io.sequoiapass.gateway.version.AdapterVersions;
import io.sequoiapass.gateway.version.EngineSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Selects the endpoints of a group that can serve a request, with what a choice among them needs.
 * Guarded by the lock of its {@link EndpointGroup}.
 */
final class CandidateSource {

  /** Leading prompt parts that requests share; the last part belongs to one request only. */
  private static final int SHARED_PARTS = 2;

  private final EndpointGroup group;
  private final Map<EndpointId, EndpointState> endpoints;
  private final DataCentreId here;
  private final AdapterVersions versions;

  CandidateSource(
      EndpointGroup group,
      Map<EndpointId, EndpointState> endpoints,
      DataCentreId here,
      AdapterVersions versions) {
    this.group = group;
    this.endpoints = endpoints;
    this.here = here;
    this.versions = versions;
  }

  /**
   * Returns the endpoints that can serve a request.
   *
   * @param demand the requirements of the request
   * @param now the time, in milliseconds
   * @param healthyOnly whether endpoints that fail, or have failed this request, are left out
   */
  List<Candidate> of(Demand demand, long now, boolean healthyOnly) {
    Optional<EndpointId> home = demand.generation().flatMap(generation -> home(generation, now));
    List<Candidate> candidates = new ArrayList<>();
    for (EndpointState state : endpoints.values()) {
      if (contains(state, demand, now, healthyOnly)) {
        EndpointId id = state.entry.endpoint();
        candidates.add(candidate(state, demand, home.filter(id::equals).isPresent(), now));
      }
    }
    return candidates;
  }

  /** Returns whether an endpoint can serve a request. */
  boolean contains(EndpointState state, Demand demand, long now, boolean healthyOnly) {
    EndpointId id = state.entry.endpoint();
    return state.takesWork(now)
        && !state.isResting(now)
        && state.allows(demand)
        && (!healthyOnly || (group.health.admits(id, now) && !demand.avoid().contains(id)))
        && holdsModel(state, demand);
  }

  /** Returns whether an endpoint holds the base model of a request. */
  static boolean holdsModel(EndpointState state, Demand demand) {
    return demand.generation().isEmpty() || state.holdsModel(demand.generation().get().model());
  }

  private Candidate candidate(EndpointState state, Demand demand, boolean home, long now) {
    Load load = state.own(now).plus(state.others);
    long cachedTokens = demand.generation().map(g -> cachedTokens(state, g, home)).orElse(0L);
    Optional<AdapterName> adapter = demand.generation().flatMap(Generation::adapter);
    boolean cachesAdapter = adapter.filter(state.cachedAdapters::isCached).isPresent();
    LoadTimeEstimates estimates = group.loadTimes(state.entry.dataCentre());
    long readyInMs = readyInMs(state, demand, now);
    return new Candidate(
        state.entry.endpoint(),
        state.entry.dataCentre(),
        state.entry.dataCentre().equals(here),
        state.entry.slots(),
        load,
        group.engine.map(EngineSpec::kvTokens).orElse(0L),
        cachedTokens,
        readyInMs,
        cachesAdapter,
        group.slowdown(state, now),
        cachesAdapter ? estimates.memoryMs() : estimates.storeMs(),
        readyInMs < 0 ? 0 : group.connections.ms(state, demand, now));
  }

  /**
   * Returns the number of leading tokens that are likely to be cached. All daemons rank the holders
   * of an adapter in the same order, so the first holder is likely to have read the shared parts
   * for another daemon.
   */
  private static long cachedTokens(EndpointState state, Generation generation, boolean home) {
    long known = state.prompts.cachedTokens(generation);
    if (!home) {
      return known;
    }
    long shared =
        generation.parts().stream()
            .limit(Math.min(SHARED_PARTS, Math.max(0, generation.parts().size() - 1)))
            .mapToLong(Generation.PromptPart::tokens)
            .sum();
    return Math.max(known, shared / 2);
  }

  private Optional<EndpointId> home(Generation generation, long now) {
    if (generation.adapter().isEmpty() || generation.parts().size() <= 1) {
      return Optional.empty();
    }
    List<EndpointId> holders = new ArrayList<>();
    for (EndpointState state : endpoints.values()) {
      if (state.holds(generation.adapter().get(), now)) {
        holders.add(state.entry.endpoint());
      }
    }
    if (holders.size() < 2) {
      return Optional.empty();
    }
    int last = Math.min(SHARED_PARTS, generation.parts().size() - 1) - 1;
    String key = generation.adapter().get() + ":" + generation.parts().get(last).id();
    return RendezvousHash.first(key, holders);
  }

  /**
   * Returns the time until a request's adapter is loaded, in milliseconds; negative if it is
   * neither held nor loading.
   */
  long readyInMs(EndpointState state, Demand demand, long now) {
    Optional<AdapterName> adapter = demand.generation().flatMap(Generation::adapter);
    if (adapter.isEmpty()) {
      return 0;
    }
    EndpointState.Copy copy = state.copies.get(adapter.get());
    if (copy == null || !versions.isUsable(adapter.get(), copy.version(), now)) {
      return -1;
    }
    return copy.readyAt() > now
        ? copy.readyAt() - now
        : state.canaries.waitMs(adapter.get(), copy, now);
  }
}
