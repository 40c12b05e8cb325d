package io.sequoiapass.daemon.process.placement;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.RequestId;
import java.util.List;

/**
 * Assigns requests and adapters to the endpoints that one daemon owns.
 *
 * <pre>{@code
 * List<PlacementAction> actions = placement.requestArrived(clock.millis(), request);
 * }</pre>
 *
 * <p>Each call takes the owner's monotonic time and returns the actions to perform, in order. Not
 * safe for use by several threads: one shard calls it under its lock.
 */
public interface Placement {

  /**
   * Adds an endpoint that was taken over, started or restarted. Requests and loads that were
   * recorded for it are dropped, since its status lists those that remain.
   */
  List<PlacementAction> endpointJoined(long nowMs, EndpointStatus status);

  /**
   * Compares a joined endpoint with a status that its engine reported while no order to it was in
   * progress. It may hold more than the answers to its orders reported, for example after an answer
   * was lost.
   */
  default List<PlacementAction> endpointReported(long nowMs, EndpointStatus status) {
    return List.of();
  }

  /** Removes an endpoint that was handed over or lost; requests that wait for it stay queued. */
  List<PlacementAction> endpointLeft(long nowMs, EndpointId endpoint);

  /** Stops sending new work to an endpoint; running requests continue. */
  List<PlacementAction> endpointDraining(long nowMs, EndpointId endpoint);

  /** Adds a request. */
  List<PlacementAction> requestArrived(long nowMs, PlacementRequest request);

  /** Removes a queued request that was cancelled or timed out. */
  List<PlacementAction> requestWithdrawn(long nowMs, RequestId request);

  /** Records the end of a started request, whatever its outcome; its stream capacity is free. */
  List<PlacementAction> requestFinished(long nowMs, RequestId request);

  /** Records the end of a load. */
  List<PlacementAction> loadFinished(long nowMs, LoadResult result);

  /** Advances the time; called every 10 to 50 ms. */
  List<PlacementAction> tick(long nowMs);

  /**
   * Applies the weights of another preset.
   *
   * @param weights the new weights
   * @param prefetches whether adapters that no request waits for may be loaded
   */
  default void updateWeights(PlacementWeights weights, boolean prefetches) {}

  /**
   * Returns how many more requests could run if their adapters were loaded. Without an endpoint
   * that takes new work it is {@link Integer#MAX_VALUE}: there is no capacity to wait for, so
   * arriving requests are refused.
   */
  default int freeStreams() {
    return Integer.MAX_VALUE;
  }

  /** Returns a load hint for each endpoint, for the entries' routers; may be empty. */
  default List<EndpointLoad> loads() {
    return List.of();
  }
}
