package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.RequestId;
import java.util.List;

/**
 * Places requests and adapters on the endpoints that one daemon owns.
 *
 * <pre>{@code
 * List<PlacementAction> actions = placement.requestArrived(clock.millis(), request);
 * }</pre>
 *
 * <p>Each call takes the owner's monotonic time and returns what to do now, in order. Not safe for
 * use by several threads: one shard calls it under its lock.
 */
public interface Placement {

  /**
   * An endpoint was taken over or started, or joins again after a restart with what it then holds;
   * requests and loads that it had are forgotten, for its status names what is left of them.
   */
  List<PlacementAction> endpointJoined(long nowMs, EndpointStatus status);

  /**
   * An endpoint that joined before told what it holds, and no order to it was under way meanwhile.
   * It may hold more than its orders' answers said, as when an answer was lost.
   */
  default List<PlacementAction> endpointSeen(long nowMs, EndpointStatus status) {
    return List.of();
  }

  /** An endpoint was handed over or lost; requests that wait for it stay queued. */
  List<PlacementAction> endpointLeft(long nowMs, EndpointId endpoint);

  /** An endpoint takes no new work from now on; running work goes on. */
  List<PlacementAction> endpointDraining(long nowMs, EndpointId endpoint);

  /** A request came in. */
  List<PlacementAction> requestArrived(long nowMs, PlacementRequest request);

  /** A request was cancelled or timed out while it was queued. */
  List<PlacementAction> requestWithdrawn(long nowMs, RequestId request);

  /** A request that was started ended in whatever way; its stream place is free. */
  List<PlacementAction> requestFinished(long nowMs, RequestId request);

  /** A load ended. */
  List<PlacementAction> loadFinished(long nowMs, LoadResult result);

  /** Time went by; called every 10 to 50 ms. */
  List<PlacementAction> tick(long nowMs);

  /**
   * Another preset came into force.
   *
   * @param weights what counts more from now on
   * @param prefetches whether adapters that nobody waits for may be loaded
   */
  default void weigh(PlacementWeights weights, boolean prefetches) {}

  /**
   * Returns how many more requests could run now if their adapters were loaded. Without an endpoint
   * it is as many as one likes: there is no place to wait for, so what comes is refused.
   */
  default int freePlaces() {
    return Integer.MAX_VALUE;
  }

  /** Returns how busy each endpoint is, as a hint for the entries' routers; perhaps nothing. */
  default List<EndpointLoad> loads() {
    return List.of();
  }
}
