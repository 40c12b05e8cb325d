package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.process.Choice;
import io.sequoiapass.gateway.process.Demand;
import io.sequoiapass.gateway.spi.CallerFacts;
import io.sequoiapass.gateway.version.RouteSpec;
import java.util.Set;

/**
 * Requests a load of an adapter for one waiting request.
 *
 * <p>Instances are immutable and safe for use by several threads.
 *
 * @param generation the generation that waits for it
 * @param flow its priority and workspace
 * @param another whether a further copy is requested although one exists
 * @param maxDelayMs the longest delay of the load that still meets the target latency, in
 *     milliseconds
 * @param waitMs how long the request may be queued for a slot, in milliseconds; 0 if it may not
 * @param deadlineMs how long a queued load could still serve the request, in milliseconds
 * @param excluded endpoints that the request cannot use, even if they hold the adapter
 */
public record LoadRequest(
    Generation generation,
    Flow flow,
    boolean another,
    long maxDelayMs,
    long waitMs,
    long deadlineMs,
    Set<EndpointId> excluded) {

  /** Copies the excluded endpoints. */
  public LoadRequest {
    excluded = Set.copyOf(excluded);
  }

  /**
   * Returns the request of a waiting request.
   *
   * @param facts what is known about the waiting request; it is a generation
   * @param demand its requirements
   * @param load the load
   * @param route the route of the waiting request
   * @param waitedMs how long ago it arrived, in milliseconds
   * @param queues whether it may be queued for a slot
   * @param excluded endpoints that it cannot use
   */
  static LoadRequest of(
      CallerFacts facts,
      Demand demand,
      Choice.RequestLoad load,
      RouteSpec route,
      long waitedMs,
      boolean queues,
      Set<EndpointId> excluded) {
    long maxDelayMs = EndpointTimeouts.maxLoadDelayMs(route, waitedMs, load.expectedMs());
    long deadlineMs =
        EndpointTimeouts.maxQueueMs(route, waitedMs, demand.remainingMs(), load.expectedMs());
    return new LoadRequest(
        facts.generation().orElseThrow(),
        demand.flow(),
        load.another(),
        maxDelayMs,
        queues ? deadlineMs : 0,
        deadlineMs,
        excluded);
  }
}
