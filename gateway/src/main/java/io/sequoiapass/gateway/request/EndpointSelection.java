package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.Demand;
import io.sequoiapass.gateway.process.EndpointGroup;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.version.RouteSpec;
import java.util.Set;

/**
 * Chooses endpoints for one request, and requests the loads that it needs. Used under the request's
 * lock.
 *
 * @param context the dependencies that all requests share
 * @param route the request's route
 * @param group the endpoints of its service
 * @param facts what its headers state
 * @param flow its priority and workspace
 * @param origin where it comes from
 * @param forward the request in the form in which it is sent
 * @param binding the software version that has to serve it
 * @param search the data centres that were asked for its adapter
 */
record EndpointSelection(
    RelayContext context,
    RouteSpec route,
    EndpointGroup group,
    CallerFacts facts,
    Flow flow,
    RequestOrigin origin,
    ForwardedRequest forward,
    StreamBinding binding,
    AdapterSearch search) {

  /** Returns what the request needs of an endpoint. */
  Demand demand(AvoidedRecipients avoided, long now) {
    return forward.demand(
        facts.generation(), avoided.endpoints(), binding.software(), flow, origin.remainingMs(now));
  }

  Choice choose(Demand demand, long now) {
    return group.choose(demand, search.loadable(context.adapters()), now);
  }

  LoadRequest loadRequest(Choice.RequestLoad load, Demand demand, boolean queues, long now) {
    Set<EndpointId> excluded = group.excluded(demand, now);
    return LoadRequest.of(facts, demand, load, route, origin.waitedMs(now), queues, excluded);
  }

  /**
   * Requests a load if only that allows another endpoint to take the request; once an attempt.
   *
   * @param silent the attempt at an endpoint that has stopped responding
   * @param load where to load the adapter
   * @param demand what the request needs
   * @param now the time, in milliseconds
   */
  void requestLoad(RelayAttempt silent, Choice.RequestLoad load, Demand demand, long now) {
    if (!silent.loadRequested) {
      LoadRequest loadRequest = loadRequest(load, demand, false, now);
      silent.loadRequested =
          context.adapters().requestLoad(load.dataCentre(), loadRequest).isPresent();
    }
  }
}
