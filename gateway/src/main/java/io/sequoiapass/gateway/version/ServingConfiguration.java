package io.sequoiapass.gateway.version;

import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.coordination.version.Workspaces;
import io.sequoiapass.daemon.connection.ConnectionLimits;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One complete version of the operators' configuration.
 *
 * <pre>{@code
 * Optional<RouteSpec> route = configuration.route("notes.example", "/bales/7");
 * }</pre>
 *
 * <p>Instances are immutable and safe for use by several threads.
 */
public final class ServingConfiguration {

  private final long version;
  private final Map<String, List<RouteSpec>> routesByHost = new HashMap<>();
  private final Map<ServiceId, ServiceSpec> services = new HashMap<>();
  private final ConnectionLimits limits;
  private final Workspaces workspaces;

  /**
   * Creates a version.
   *
   * @param version its number
   * @param routes the routes
   * @param services the services
   * @param limits limits of callers' requests and connections
   * @param workspaces the workspaces; {@link Workspaces#NONE} if callers need no key
   */
  public ServingConfiguration(
      long version,
      List<RouteSpec> routes,
      List<ServiceSpec> services,
      ConnectionLimits limits,
      Workspaces workspaces) {
    this.version = version;
    this.limits = limits;
    this.workspaces = workspaces;
    routes.forEach(
        route -> routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route));
    Comparator<RouteSpec> longestFirst =
        Comparator.comparingInt((RouteSpec route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(list -> list.sort(longestFirst));
    services.forEach(service -> this.services.put(service.service(), service));
  }

  /** Returns the version's number. */
  public long version() {
    return version;
  }

  /** Returns the limits of callers' requests and connections. */
  public ConnectionLimits limits() {
    return limits;
  }

  /** Returns the workspaces. */
  public Workspaces workspaces() {
    return workspaces;
  }

  /** Returns the services. */
  public List<ServiceSpec> services() {
    return List.copyOf(services.values());
  }

  /**
   * Returns a service.
   *
   * @param service its name
   */
  public Optional<ServiceSpec> service(ServiceId service) {
    return Optional.ofNullable(services.get(service));
  }

  /** Returns all routes. */
  public List<RouteSpec> routes() {
    return routesByHost.values().stream().flatMap(List::stream).toList();
  }

  /**
   * Returns the route of a request: among the routes of its host, the one with the longest prefix
   * of its path.
   *
   * @param host the request's host, with or without a port
   * @param path the path without the query
   */
  public Optional<RouteSpec> route(String host, String path) {
    int port = host.lastIndexOf(':');
    String name = (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
    return routesByHost.getOrDefault(name, List.of()).stream()
        .filter(route -> path.startsWith(route.pathPrefix()))
        .findFirst();
  }
}
