package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.daemon.process.placement.EndpointLoad;
import io.sequoiapass.daemon.request.RouteTarget;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Finds where an attempt goes; safe for use by several threads. */
public interface Routes {

  /**
   * Returns the best endpoint for an attempt whose owner can be reached, if there is one.
   *
   * @param target what the endpoint must be
   * @param snapshot the request's configuration
   * @param prefer the endpoint that has the request's stream, if one has
   * @param avoid endpoints that failed the request; taken only when no other is left
   */
  Optional<Route> find(
      RouteTarget target,
      ConfigurationSnapshot snapshot,
      Optional<EndpointId> prefer,
      Set<EndpointId> avoid);

  /**
   * Takes hints of how busy endpoints are.
   *
   * @param loads the hints
   */
  void learn(List<EndpointLoad> loads);
}
