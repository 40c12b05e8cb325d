package io.sequoiapass.coordination.connection;

import io.sequoiapass.coordination.EndpointId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Selects the endpoints that may receive requests, with a circuit breaker per endpoint and outlier
 * ejection across endpoints.
 *
 * <pre>{@code
 * if (health.admits(endpoint, now)) {
 *   health.sent(endpoint, now);
 *   send();
 * }
 * }</pre>
 *
 * <p>A refusal for lack of capacity is not a failure; lost connections, truncated streams and wrong
 * answers are. Guarded by the lock of one shard; not safe for use by several threads.
 */
public final class EndpointHealth {

  private static final class Endpoint {
    private final CircuitBreaker circuit;
    private long windowStart;
    private int succeeded;
    private int failed;

    private Endpoint(HealthSettings settings) {
      circuit = new CircuitBreaker(settings);
    }

    private int samples() {
      return succeeded + failed;
    }

    private double failureShare() {
      return (double) failed / samples();
    }
  }

  private final HealthSettings settings;
  private final Map<EndpointId, Endpoint> endpoints = new HashMap<>();
  private Set<EndpointId> ejected = Set.of();

  /** Creates a health tracker without endpoints. */
  public EndpointHealth(HealthSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /** Returns whether the endpoint may receive a request. */
  public boolean admits(EndpointId endpoint, long nowMillis) {
    Endpoint state = endpoints.get(endpoint);
    return state == null || (state.circuit.admits(nowMillis) && !ejected.contains(endpoint));
  }

  /** Records that a request is sent to the endpoint. */
  public void sent(EndpointId endpoint, long nowMillis) {
    endpointState(endpoint, nowMillis).circuit.sent(nowMillis);
  }

  /**
   * Records a request that ended without fault of the endpoint: cancelled, withdrawn or refused as
   * busy.
   */
  public void withdrawn(EndpointId endpoint, long nowMillis) {
    endpointState(endpoint, nowMillis).circuit.withdrawn();
  }

  /** Records a complete answer. */
  public void succeeded(EndpointId endpoint, long nowMillis) {
    Endpoint state = endpointState(endpoint, nowMillis);
    state.circuit.succeeded();
    state.succeeded++;
    updateOutliers(nowMillis);
  }

  /** Records a lost connection, a truncated stream or a wrong answer. */
  public void failed(EndpointId endpoint, long nowMillis) {
    Endpoint state = endpointState(endpoint, nowMillis);
    state.circuit.failed(nowMillis);
    state.failed++;
    updateOutliers(nowMillis);
  }

  /** Returns the endpoints that may not receive requests. */
  public Set<EndpointId> excluded(long nowMillis) {
    Set<EndpointId> excluded = new HashSet<>();
    for (EndpointId endpoint : endpoints.keySet()) {
      if (!admits(endpoint, nowMillis)) {
        excluded.add(endpoint);
      }
    }
    return excluded;
  }

  /** Removes the state of all endpoints except these. */
  public void retain(Set<EndpointId> present) {
    endpoints.keySet().retainAll(present);
  }

  /** Returns the endpoints ejected because their failure rate exceeds that of the others. */
  public Set<EndpointId> ejected(long nowMillis) {
    updateOutliers(nowMillis);
    return ejected;
  }

  private Endpoint endpointState(EndpointId id, long nowMillis) {
    Endpoint endpoint = endpoints.computeIfAbsent(id, unknown -> new Endpoint(settings));
    startWindow(endpoint, nowMillis);
    return endpoint;
  }

  private void startWindow(Endpoint endpoint, long nowMillis) {
    if (nowMillis - endpoint.windowStart >= settings.windowMillis()) {
      endpoint.windowStart = nowMillis;
      endpoint.succeeded = 0;
      endpoint.failed = 0;
    }
  }

  private void updateOutliers(long nowMillis) {
    endpoints.values().forEach(endpoint -> startWindow(endpoint, nowMillis));
    int failed = endpoints.values().stream().mapToInt(endpoint -> endpoint.failed).sum();
    int samples = endpoints.values().stream().mapToInt(Endpoint::samples).sum();
    double limit = settings.outlierExcess() + (samples == 0 ? 0 : (double) failed / samples);
    List<Map.Entry<EndpointId, Endpoint>> outliers = new ArrayList<>();
    for (Map.Entry<EndpointId, Endpoint> entry : endpoints.entrySet()) {
      Endpoint endpoint = entry.getValue();
      if (endpoint.samples() >= settings.minSamples() && endpoint.failureShare() > limit) {
        outliers.add(entry);
      }
    }
    outliers.sort(
        Comparator.comparingDouble(
                (Map.Entry<EndpointId, Endpoint> entry) -> -entry.getValue().failureShare())
            .thenComparing(Map.Entry::getKey));
    int maxEjected = (int) (settings.maxEjectedShare() * endpoints.size());
    Set<EndpointId> newlyEjected = new HashSet<>();
    outliers.stream().limit(maxEjected).forEach(entry -> newlyEjected.add(entry.getKey()));
    ejected = Set.copyOf(newlyEjected);
  }
}
