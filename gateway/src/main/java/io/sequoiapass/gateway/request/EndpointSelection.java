package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.Demand;
import io.sequoiapass.gateway.process.EndpointGroup;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.version.RouteSpec;
import java.util.Set;
import java.util.function.BooleanSupplier;

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
   * Returns what to do about an endpoint that has stopped responding; requests a load if only that
   * allows another one to replace it.
   *
   * @param from the attempt at the endpoint
   * @param others the recipients to avoid, with that one
   * @param budget whether the budget allows a retry
   * @param now the time, in milliseconds
   */
  FailoverPolicy.Step failOver(
      RelayAttempt from, AvoidedRecipients others, BooleanSupplier budget, long now) {
    Demand demand = demand(others, now);
    Choice choice = choose(demand, now);
    FailoverPolicy.Step step = FailoverPolicy.next(choice, from.endpoint(), budget);
    if (step == FailoverPolicy.Step.LOAD && !from.loadRequested) {
      Choice.RequestLoad load = (Choice.RequestLoad) choice;
      LoadRequest loadRequest = loadRequest(load, demand, false, now);
      from.loadRequested =
          context.adapters().requestLoad(load.dataCentre(), loadRequest).isPresent();
    }
    return step;
  }
}
