package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.ServiceId;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.version.RouteSpec;
import io.sequoiapass.gateway.version.SoftwareVersion;
import io.sequoiapass.gateway.version.StreamVersion;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Finds the version that has to continue a stream which its caller has received in part.
 *
 * <p>Safe for use by several threads.
 */
final class StreamResumption {

  private final StreamVersionLinks links;
  private final EndpointDirectory directory;

  /**
   * Creates it.
   *
   * @param links knows or asks who began a stream
   * @param directory the endpoints
   */
  StreamResumption(StreamVersionLinks links, EndpointDirectory directory) {
    this.links = links;
    this.directory = directory;
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
        .orElseGet(() -> CompletableFuture.completedFuture(onlyVersion(route)))
        .thenApply(found -> found.filter(version -> leadsTo(route, version.service())));
  }

  private static boolean leadsTo(RouteSpec route, ServiceId service) {
    return route.targets().stream().anyMatch(target -> target.service().equals(service));
  }

  /**
   * Returns the version of a stream whose caller does not name the attempt that began it: where a
   * route's only service has never had two, there is no other.
   */
  private Optional<StreamVersion> onlyVersion(RouteSpec route) {
    if (route.targets().size() != 1) {
      return Optional.empty();
    }
    ServiceId service = route.targets().get(0).service();
    Set<SoftwareVersion> versions = directory.group(service).softwareVersions();
    return versions.size() == 1
        ? Optional.of(new StreamVersion(service, versions.iterator().next()))
        : Optional.empty();
  }
}
