package io.sequoiapass.daemon.process.entry;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.version.ConfigurationSnapshot;
import io.sequoiapass.daemon.process.placement.EndpointLoad;
import io.sequoiapass.daemon.request.RouteTarget;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Selects the destination of an attempt; safe for use by several threads. */
public interface Routes {

  /**
   * Returns the best endpoint whose owner can be reached, if there is one.
   *
   * @param target what the endpoint must be able to run
   * @param snapshot the request's configuration
   * @param prefer the endpoint that holds the request's stream, if any
   * @param avoid endpoints on which the request failed; used only if there is no other
   */
  Optional<Route> find(
      RouteTarget target,
      ConfigurationSnapshot snapshot,
      Optional<EndpointId> prefer,
      Set<EndpointId> avoid);

  /**
   * Updates the load hints of endpoints.
   *
   * @param loads the hints
   */
  void updateLoads(List<EndpointLoad> loads);
}
