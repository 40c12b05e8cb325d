package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.AdapterVersion;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.MillisClock;
import io.sequoiapass.coordination.process.RendezvousHash;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.coordination.version.EndpointType;
import io.sequoiapass.daemon.process.placement.EndpointLoad;
import io.sequoiapass.daemon.process.placement.HotAdapters;
import io.sequoiapass.daemon.process.placement.PlacementWeights;
import io.sequoiapass.daemon.process.placement.Router;
import io.sequoiapass.daemon.request.RouteTarget;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Routes by rendezvous hashing, so that all entries send an adapter's requests to the same endpoint
 * without exchanging messages. Load hints carried by answers divert requests from full endpoints.
 *
 * <p>Safe for use by several threads.
 */
public final class AffinityRoutes implements Routes {

  /** Older hints are ignored, since an endpoint's load changes within a few answers. */
  private static final long MAX_HINT_AGE_MS = 2_000;

  /**
   * Three half-lives of demand: an endpoint that receives a hot adapter starts to count its demand
   * at zero, so the adapter has to stay hot until that count has caught up.
   */
  private static final long HOT_RETENTION_MS = 450_000;

  private static final int ONE_COPY = 1;

  /** More adapters than one entry receives in an hour; about 200 bytes each. */
  private static final int MAX_CACHED_RANKINGS = 8_192;

  private final MillisClock clock;
  private final Owners owners;
  private final Channels channels;
  private volatile Router router;
  private final HotAdapters hotAdapters = new HotAdapters(HOT_RETENTION_MS);
  private final Map<EndpointId, Hint> hints = new ConcurrentHashMap<>();
  private volatile RankingCache rankings = new RankingCache(List.of());

  /**
   * Creates routes without hints.
   *
   * @param clock measures the age of hints
   * @param weights the placement weights
   * @param owners finds the daemon that serves an endpoint
   * @param channels finds the connection to that daemon
   */
  public AffinityRoutes(
      MillisClock clock, PlacementWeights weights, Owners owners, Channels channels) {
    this.router = new Router(MAX_HINT_AGE_MS, weights.denseShare());
    this.clock = Objects.requireNonNull(clock, "clock");
    this.owners = Objects.requireNonNull(owners, "owners");
    this.channels = Objects.requireNonNull(channels, "channels");
  }

  /**
   * Replaces the placement weights after a change of the active preset.
   *
   * @param weights the new weights
   */
  public void weigh(PlacementWeights weights) {
    router = new Router(MAX_HINT_AGE_MS, weights.denseShare());
    // Cached rankings depend on the share of endpoints that hot adapters use.
    rankings = new RankingCache(List.of());
  }

  @Override
  public void updateLoads(List<EndpointLoad> loads) {
    long now = clock.millis();
    for (EndpointLoad load : loads) {
      hints.put(load.endpoint(), new Hint(load, now));
      synchronized (hotAdapters) {
        hotAdapters.update(now, load);
      }
    }
  }

  private boolean isHot(AdapterVersion adapter) {
    synchronized (hotAdapters) {
      return hotAdapters.contains(clock.millis(), adapter);
    }
  }

  @Override
  public Optional<Route> find(
      RouteTarget target,
      ConfigurationSnapshot snapshot,
      Optional<EndpointId> prefer,
      Set<EndpointId> avoid) {
    Optional<Route> preferred =
        prefer.flatMap(snapshot::endpoint).flatMap(endpoint -> route(endpoint));
    if (preferred.isPresent()) {
      return preferred;
    }
    return firstRoute(exclude(avoid, rank(target, snapshot)), snapshot)
        .or(() -> findAmongAll(target, snapshot, avoid));
  }

  private Optional<Route> findAmongAll(
      RouteTarget target, ConfigurationSnapshot snapshot, Set<EndpointId> avoid) {
    List<EndpointId> all = rankByAffinity(target, snapshot, false);
    return firstRoute(exclude(avoid, all), snapshot).or(() -> firstRoute(all, snapshot));
  }

  private static List<EndpointId> exclude(Set<EndpointId> avoid, List<EndpointId> ranked) {
    return ranked.stream().filter(one -> !avoid.contains(one)).toList();
  }

  /** Ranks the few endpoints with the highest affinity by their load hints. */
  private List<EndpointId> rank(RouteTarget target, ConfigurationSnapshot snapshot) {
    if (!(target instanceof RouteTarget.Engine engine)) {
      return rankByAffinity(target, snapshot, false);
    }
    boolean hot = isHot(engine.adapter());
    List<Router.Candidate> candidates =
        topByAffinity(engine, snapshot, hot).stream().map(this::candidate).toList();
    return router.applyHints(engine.adapter(), hot, candidates);
  }

  /**
   * Returns the first endpoints of an adapter's ranking. Hashing and sorting the 2,000 endpoints of
   * a region takes 1 ms, which at 65 requests per second exceeds the share of a core that all
   * control work may use. A ranking depends only on the endpoints, so it is cached until they
   * change.
   */
  private List<EndpointId> topByAffinity(
      RouteTarget.Engine target, ConfigurationSnapshot snapshot, boolean hot) {
    List<EndpointRecord> endpoints = snapshot.endpoints();
    RankingCache cache = rankings;
    if (cache.endpoints != endpoints) {
      cache = new RankingCache(endpoints);
      rankings = cache;
    }
    if (cache.byAffinity.size() >= MAX_CACHED_RANKINGS) {
      // Adapter popularity drifts, so old entries are rarely used; ranking one again takes 1 ms.
      cache.byAffinity.clear();
    }
    return cache.byAffinity.computeIfAbsent(
        new RankingKey(target.adapter(), hot),
        key -> {
          List<EndpointId> all = rankByAffinity(target, snapshot, hot);
          int available = hot ? all.size() : router.partitionSize(false, all.size());
          return List.copyOf(all.subList(0, Math.min(Router.MAX_PRICED_ENDPOINTS, available)));
        });
  }

  private List<EndpointId> rankByAffinity(
      RouteTarget target, ConfigurationSnapshot snapshot, boolean hot) {
    List<EndpointId> candidates = new ArrayList<>();
    for (EndpointRecord endpoint : snapshot.endpoints()) {
      if (endpoint.takesNewWork() && canRun(endpoint, target)) {
        candidates.add(endpoint.id());
      }
    }
    if (target instanceof RouteTarget.Engine engine) {
      List<Router.Candidate> unhinted =
          candidates.stream().map(AffinityRoutes::candidateWithoutHint).toList();
      return router.rank(engine.adapter(), ONE_COPY, hot, unhinted);
    }
    return RendezvousHash.rank(target.affinity(), candidates);
  }

  private static Router.Candidate candidateWithoutHint(EndpointId endpoint) {
    return new Router.Candidate(endpoint, 1, Optional.empty(), Long.MAX_VALUE);
  }

  private Router.Candidate candidate(EndpointId endpoint) {
    Hint hint = hints.get(endpoint);
    return hint == null
        ? candidateWithoutHint(endpoint)
        : new Router.Candidate(
            endpoint, 1, Optional.of(hint.load()), clock.millis() - hint.receivedAtMs());
  }

  private static boolean canRun(EndpointRecord endpoint, RouteTarget target) {
    if (target instanceof RouteTarget.Engine engine) {
      return endpoint.type() == EndpointType.ENGINE
          && endpoint.model().filter(engine.model()::equals).isPresent();
    }
    RouteTarget.Service service = (RouteTarget.Service) target;
    return endpoint.type() == EndpointType.SERVICE
        && endpoint.service().filter(service.service()::equals).isPresent();
  }

  private Optional<Route> firstRoute(List<EndpointId> ranked, ConfigurationSnapshot snapshot) {
    return ranked.stream()
        .map(snapshot::endpoint)
        .flatMap(Optional::stream)
        .map(this::route)
        .flatMap(Optional::stream)
        .findFirst();
  }

  private Optional<Route> route(EndpointRecord endpoint) {
    return owners
        .of(endpoint)
        .flatMap(channels::to)
        .map(channel -> new Route(endpoint.id(), channel));
  }

  /** Rankings by adapter for one list of endpoints. */
  private static final class RankingCache {
    private final List<EndpointRecord> endpoints;
    private final Map<RankingKey, List<EndpointId>> byAffinity = new ConcurrentHashMap<>();

    RankingCache(List<EndpointRecord> endpoints) {
      this.endpoints = endpoints;
    }
  }

  /** Cache key; a hot adapter has its own ranking. */
  private record RankingKey(AdapterVersion adapter, boolean hot) {}

  private record Hint(EndpointLoad load, long receivedAtMs) {}
}
