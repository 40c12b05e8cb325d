package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.version.RouteSpec;
import io.sequoiapass.gateway.version.ServingConfiguration;
import io.sequoiapass.gateway.version.StreamVersion;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/**
 * Finds the version that has to continue a stream which its caller has received in part.
 *
 * <p>Safe for use by several threads.
 */
final class StreamResumption {

  /** How long an endpoint may serve after its entry was removed, in milliseconds. */
  private static final long SERVES_ON_MS = 30_000;

  private final StreamVersionLinks links;
  private final SoleVersion soleVersion;

  /**
   * Creates it.
   *
   * @param links knows or asks who began a stream
   * @param soleVersion proves that there is only one version
   */
  StreamResumption(StreamVersionLinks links, SoleVersion soleVersion) {
    this.links = links;
    this.soleVersion = soleVersion;
  }

  /**
   * Returns how long after the last endpoint of a version has left the list a caller may take up
   * one of its streams, in milliseconds: the endpoint may serve on, a stream lasts as long as its
   * route allows, and so does its caller's return.
   */
  static long retentionMs(ServingConfiguration configuration) {
    long longestMs =
        configuration.routes().stream()
            .filter(StreamResumption::isResumable)
            .mapToLong(RouteSpec::timeoutMs)
            .max()
            .orElse(0);
    return 2 * longestMs + SERVES_ON_MS;
  }

  /** Returns the services whose streams may be taken up. */
  static Set<ServiceId> services(ServingConfiguration configuration) {
    return configuration.routes().stream()
        .filter(StreamResumption::isResumable)
        .flatMap(route -> route.targets().stream())
        .map(RouteSpec.Target::service)
        .collect(Collectors.toSet());
  }

  private static boolean isResumable(RouteSpec route) {
    return route.streams() && route.mayRepeat();
  }

  /** Returns whether a request continues a stream. */
  static boolean isNeeded(RouteSpec route, CallerFacts facts) {
    return route.streams() && facts.lastEventId().isPresent();
  }

  /**
   * Returns the version that has to continue a stream; empty if it is unknown or the route does not
   * lead to its service any more. Then the stream must not continue.
   *
   * @param route the request's route
   * @param facts what its headers state
   */
  CompletableFuture<Optional<StreamVersion>> find(RouteSpec route, CallerFacts facts) {
    return facts
        .resumes()
        .map(links::find)
        .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()))
        .thenCompose(
            found ->
                found.isPresent()
                    ? CompletableFuture.completedFuture(found)
                    : findSoleVersion(route))
        .thenApply(found -> found.filter(version -> leadsTo(route, version.service())));
  }

  private static boolean leadsTo(RouteSpec route, ServiceId service) {
    return route.targets().stream().anyMatch(target -> target.service().equals(service));
  }

  /** Returns the version of a stream that no daemon knows, if there is only one it can be of. */
  private CompletableFuture<Optional<StreamVersion>> findSoleVersion(RouteSpec route) {
    if (route.targets().size() != 1) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    ServiceId service = route.targets().get(0).service();
    return soleVersion
        .find(service)
        .thenApply(found -> found.map(version -> new StreamVersion(service, version)));
  }
}
