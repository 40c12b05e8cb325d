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
 * Ranks endpoints so that an adapter's requests meet on the same one whatever entry they came
 * through, without a message; hints that ride on answers move them away from full endpoints.
 *
 * <p>Safe for use by several threads.
 */
public final class AffinityRoutes implements Routes {

  /** A hint older than this says nothing: an endpoint's load changes within a few answers. */
  private static final long MAX_HINT_AGE_MS = 2_000;

  /** Three half-lives of demand: an endpoint that a hot adapter moved to counts it from nothing. */
  private static final long HOT_FOR_MS = 450_000;

  private static final int ONE_COPY = 1;

  /** Orders kept: more adapters than one entry sees in an hour, at about 200 bytes each. */
  private static final int MAX_ORDERS = 8_192;

  private final MillisClock clock;
  private final Owners owners;
  private final Channels channels;
  private final Router router;
  private final HotAdapters hotAdapters = new HotAdapters(HOT_FOR_MS);
  private final Map<EndpointId, Hint> hints = new ConcurrentHashMap<>();
  private volatile Orders orders = new Orders(List.of());

  /**
   * Makes routes.
   *
   * @param clock tells how old hints are
   * @param weights what the operators weigh more heavily
   * @param owners tells who serves an endpoint
   * @param channels finds the connection to it
   */
  public AffinityRoutes(
      MillisClock clock, PlacementWeights weights, Owners owners, Channels channels) {
    this.router = new Router(MAX_HINT_AGE_MS, weights.denseShare());
    this.clock = Objects.requireNonNull(clock, "clock");
    this.owners = Objects.requireNonNull(owners, "owners");
    this.channels = Objects.requireNonNull(channels, "channels");
  }

  @Override
  public void learn(List<EndpointLoad> loads) {
    long now = clock.millis();
    for (EndpointLoad load : loads) {
      hints.put(load.endpoint(), new Hint(load, now));
      synchronized (hotAdapters) {
        hotAdapters.learn(now, load);
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
    return first(without(avoid, rank(target, snapshot)), snapshot)
        .or(() -> beyondTheFirst(target, snapshot, avoid));
  }

  private Optional<Route> beyondTheFirst(
      RouteTarget target, ConfigurationSnapshot snapshot, Set<EndpointId> avoid) {
    List<EndpointId> all = byAffinity(target, snapshot, false);
    return first(without(avoid, all), snapshot).or(() -> first(all, snapshot));
  }

  private static List<EndpointId> without(Set<EndpointId> avoid, List<EndpointId> ranked) {
    return ranked.stream().filter(one -> !avoid.contains(one)).toList();
  }

  /** Ranks the few endpoints that the target's affinity puts first by what hints say of them. */
  private List<EndpointId> rank(RouteTarget target, ConfigurationSnapshot snapshot) {
    if (!(target instanceof RouteTarget.Engine engine)) {
      return byAffinity(target, snapshot, false);
    }
    boolean hot = isHot(engine.adapter());
    List<Router.Candidate> weighed =
        firstByAffinity(engine, snapshot, hot).stream().map(this::weigh).toList();
    return router.byHints(engine.adapter(), hot, weighed);
  }

  /**
   * Hashing and sorting all of a region's 2,000 endpoints takes a millisecond, which at 65 requests
   * a second is more of a core than all control may use. An adapter's order changes only with the
   * endpoints themselves, so it is kept until they do.
   */
  private List<EndpointId> firstByAffinity(
      RouteTarget.Engine target, ConfigurationSnapshot snapshot, boolean hot) {
    List<EndpointRecord> endpoints = snapshot.endpoints();
    Orders known = orders;
    if (known.endpoints != endpoints) {
      known = new Orders(endpoints);
      orders = known;
    }
    if (known.byAffinity.size() >= MAX_ORDERS) {
      // Popularity has moved on; what is asked for now is hashed again at a small cost each.
      known.byAffinity.clear();
    }
    return known.byAffinity.computeIfAbsent(
        new Order(target.adapter(), hot),
        order -> {
          List<EndpointId> all = byAffinity(target, snapshot, hot);
          int places = hot ? all.size() : router.ownPlaces(false, all.size());
          return List.copyOf(all.subList(0, Math.min(Router.CHOICES, places)));
        });
  }

  private List<EndpointId> byAffinity(
      RouteTarget target, ConfigurationSnapshot snapshot, boolean hot) {
    List<EndpointId> candidates = new ArrayList<>();
    for (EndpointRecord endpoint : snapshot.endpoints()) {
      if (endpoint.takesNewWork() && runs(endpoint, target)) {
        candidates.add(endpoint.id());
      }
    }
    if (target instanceof RouteTarget.Engine engine) {
      List<Router.Candidate> unweighed = candidates.stream().map(AffinityRoutes::plain).toList();
      return router.rank(engine.adapter(), ONE_COPY, hot, unweighed);
    }
    return RendezvousHash.rank(target.affinity(), candidates);
  }

  private static Router.Candidate plain(EndpointId endpoint) {
    return new Router.Candidate(endpoint, 1, Optional.empty(), Long.MAX_VALUE);
  }

  private Router.Candidate weigh(EndpointId endpoint) {
    Hint hint = hints.get(endpoint);
    return hint == null
        ? plain(endpoint)
        : new Router.Candidate(
            endpoint, 1, Optional.of(hint.load()), clock.millis() - hint.learntAtMs());
  }

  private static boolean runs(EndpointRecord endpoint, RouteTarget target) {
    if (target instanceof RouteTarget.Engine engine) {
      return endpoint.type() == EndpointType.ENGINE
          && endpoint.model().filter(engine.model()::equals).isPresent();
    }
    RouteTarget.Service service = (RouteTarget.Service) target;
    return endpoint.type() == EndpointType.SERVICE
        && endpoint.service().filter(service.service()::equals).isPresent();
  }

  private Optional<Route> first(List<EndpointId> ranked, ConfigurationSnapshot snapshot) {
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

  /** Keeps the orders of adapters for one set of endpoints. */
  private static final class Orders {
    private final List<EndpointRecord> endpoints;
    private final Map<Order, List<EndpointId>> byAffinity = new ConcurrentHashMap<>();

    Orders(List<EndpointRecord> endpoints) {
      this.endpoints = endpoints;
    }
  }

  /** Names an adapter's order: while it is hot it has another one. */
  private record Order(AdapterVersion adapter, boolean hot) {}

  private record Hint(EndpointLoad load, long learntAtMs) {}
}
