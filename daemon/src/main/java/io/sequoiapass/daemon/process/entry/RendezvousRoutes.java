package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.process.RendezvousHash;
import io.sequoiapass.coordination.version.ConfigurationObject.EndpointRecord;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.coordination.version.EndpointType;
import io.sequoiapass.daemon.request.RouteTarget;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Ranks endpoints by rendezvous hash, so that an adapter's requests meet on the same endpoint
 * whatever entry they came through, without a message.
 *
 * <p>Safe for use by several threads.
 */
public final class RendezvousRoutes implements Routes {

  private final Owners owners;
  private final Channels channels;

  /**
   * Makes routes.
   *
   * @param owners tells who serves an endpoint
   * @param channels finds the connection to it
   */
  public RendezvousRoutes(Owners owners, Channels channels) {
    this.owners = Objects.requireNonNull(owners, "owners");
    this.channels = Objects.requireNonNull(channels, "channels");
  }

  @Override
  public Optional<Route> find(
      RouteTarget target,
      ConfigurationSnapshot snapshot,
      Optional<EndpointId> prefer,
      Set<EndpointId> avoid) {
    Optional<Route> preferred = prefer.flatMap(snapshot::endpoint).flatMap(this::route);
    if (preferred.isPresent()) {
      return preferred;
    }
    List<EndpointRecord> ranked = ranked(target, snapshot);
    return first(ranked.stream().filter(one -> !avoid.contains(one.id())).toList())
        .or(() -> first(ranked));
  }

  private List<EndpointRecord> ranked(RouteTarget target, ConfigurationSnapshot snapshot) {
    List<EndpointRecord> candidates = new ArrayList<>();
    for (EndpointRecord endpoint : snapshot.endpoints()) {
      if (endpoint.takesNewWork() && runs(endpoint, target)) {
        candidates.add(endpoint);
      }
    }
    return rank(target.affinity(), candidates);
  }

  private static List<EndpointRecord> rank(String key, List<EndpointRecord> candidates) {
    List<EndpointId> ids = candidates.stream().map(EndpointRecord::id).toList();
    List<EndpointId> order = RendezvousHash.rank(key, ids);
    return candidates.stream()
        .sorted((a, b) -> Integer.compare(order.indexOf(a.id()), order.indexOf(b.id())))
        .toList();
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

  private Optional<Route> first(List<EndpointRecord> ranked) {
    return ranked.stream().map(this::route).flatMap(Optional::stream).findFirst();
  }

  private Optional<Route> route(EndpointRecord endpoint) {
    return owners
        .of(endpoint)
        .flatMap(channels::to)
        .map(channel -> new Route(endpoint.id(), channel));
  }
}
