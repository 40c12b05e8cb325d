package io.sequoiapass.gateway.request;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.gateway.process.EndpointGroup;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/**
 * Requests that wait for an adapter, or until an endpoint accepts them. Safe for use by several
 * threads.
 */
public final class PendingRequests {

  private final Map<AdapterName, Set<RelayedRequest>> requests = new ConcurrentHashMap<>();

  private final Map<EndpointGroup, Set<RelayedRequest>> forEndpoints = new ConcurrentHashMap<>();

  /** Adds a request that waits until any endpoint of a group accepts it. */
  void addForEndpoint(EndpointGroup group, RelayedRequest request) {
    forEndpoints.computeIfAbsent(group, any -> ConcurrentHashMap.newKeySet()).add(request);
  }

  void removeForEndpoint(EndpointGroup group, RelayedRequest request) {
    forEndpoints.computeIfPresent(
        group,
        (any, waiting) -> {
          waiting.remove(request);
          return waiting.isEmpty() ? null : waiting;
        });
  }

  /** Returns how many requests that arrived before a time wait for endpoints of a group. */
  int countBefore(EndpointGroup group, long arrivedAt) {
    return (int)
        forEndpoints.getOrDefault(group, Set.of()).stream()
            .filter(request -> request.arrivedAt() < arrivedAt)
            .count();
  }

  /**
   * Dispatches the oldest request that waits for an endpoint, or all if no permit was granted,
   * since the expected wait has changed.
   *
   * @param group the endpoint's group
   * @param granted whether a permit was granted
   */
  public void permitReplied(EndpointGroup group, boolean granted) {
    List<RelayedRequest> waiting = List.copyOf(forEndpoints.getOrDefault(group, Set.of()));
    if (granted) {
      waiting.stream()
          .min(Comparator.comparingLong(RelayedRequest::arrivedAt))
          .ifPresent(RelayedRequest::retryDispatch);
    } else {
      waiting.forEach(RelayedRequest::retryDispatch);
    }
  }

  void add(AdapterName adapter, RelayedRequest request) {
    requests.computeIfAbsent(adapter, name -> ConcurrentHashMap.newKeySet()).add(request);
  }

  void remove(AdapterName adapter, RelayedRequest request) {
    requests.computeIfPresent(
        adapter,
        (name, waiting) -> {
          waiting.remove(request);
          return waiting.isEmpty() ? null : waiting;
        });
  }

  /**
   * Dispatches all requests that wait for an adapter which an endpoint now holds or loads.
   *
   * @param adapter the adapter
   */
  public void placed(AdapterName adapter) {
    waitingFor(adapter).forEach(RelayedRequest::retryDispatch);
  }

  /**
   * Notifies the requests for an adapter that a data centre has no free slot for it.
   *
   * @param dataCentre the data centre
   * @param adapter the adapter
   * @param retryAfterMs when to request the load again, in milliseconds
   */
  public void loadRejected(DataCentreId dataCentre, AdapterName adapter, long retryAfterMs) {
    waitingFor(adapter).forEach(request -> request.loadRejected(dataCentre, retryAfterMs));
  }

  /**
   * Notifies all requests that a data centre's coordinator is disconnected.
   *
   * @param dataCentre the data centre
   */
  public void coordinatorLost(DataCentreId dataCentre) {
    requests.values().stream()
        .flatMap(Set::stream)
        .toList()
        .forEach(request -> request.coordinatorLost(dataCentre));
  }

  /** Dispatches all requests, since the path to the endpoints is lost or restored. */
  public void pathChanged() {
    Stream.of(requests, forEndpoints)
        .flatMap(waiting -> waiting.values().stream())
        .flatMap(Set::stream)
        .distinct()
        .toList()
        .forEach(RelayedRequest::retryDispatch);
  }

  private List<RelayedRequest> waitingFor(AdapterName adapter) {
    return List.copyOf(requests.getOrDefault(adapter, Set.of()));
  }
}
