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
 * Decides which endpoints get work, by a circuit for each and by comparing them with one another.
 *
 * <pre>{@code
 * if (health.admits(endpoint, now)) {
 *   health.sent(endpoint, now);
 *   send();
 * }
 * }</pre>
 *
 * <p>A refusal for lack of room is no failure; only lost connections, cut streams and wrong answers
 * are. Driven under the lock of one shard; not safe for use by several threads.
 */
public final class EndpointHealth {

  private static final class Endpoint {
    private final Circuit circuit;
    private long windowStart;
    private int succeeded;
    private int failed;

    private Endpoint(HealthSettings settings) {
      circuit = new Circuit(settings);
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

  /** Creates the health of no endpoints yet. */
  public EndpointHealth(HealthSettings settings) {
    this.settings = Objects.requireNonNull(settings, "settings");
  }

  /** Returns whether the endpoint may get a request now. */
  public boolean admits(EndpointId endpoint, long nowMillis) {
    Endpoint known = endpoints.get(endpoint);
    return known == null || (known.circuit.admits(nowMillis) && !ejected.contains(endpoint));
  }

  /** Notes that a request goes to the endpoint. */
  public void sent(EndpointId endpoint, long nowMillis) {
    of(endpoint, nowMillis).circuit.sent(nowMillis);
  }

  /** Notes that a request ended without blame for the endpoint: cancelled, withdrawn, busy. */
  public void withdrawn(EndpointId endpoint, long nowMillis) {
    of(endpoint, nowMillis).circuit.withdrawn();
  }

  /** Notes a whole answer. */
  public void succeeded(EndpointId endpoint, long nowMillis) {
    Endpoint known = of(endpoint, nowMillis);
    known.circuit.succeeded();
    known.succeeded++;
    compare(nowMillis);
  }

  /** Notes a lost connection, a cut stream or a wrong answer. */
  public void failed(EndpointId endpoint, long nowMillis) {
    Endpoint known = of(endpoint, nowMillis);
    known.circuit.failed(nowMillis);
    known.failed++;
    compare(nowMillis);
  }

  /** Returns the endpoints that may get no request now. */
  public Set<EndpointId> leftOut(long nowMillis) {
    Set<EndpointId> out = new HashSet<>();
    for (EndpointId endpoint : endpoints.keySet()) {
      if (!admits(endpoint, nowMillis)) {
        out.add(endpoint);
      }
    }
    return out;
  }

  /** Forgets the endpoints that are not among these. */
  public void retain(Set<EndpointId> present) {
    endpoints.keySet().retainAll(present);
  }

  /** Returns the endpoints left out because they fail more than the others. */
  public Set<EndpointId> ejected(long nowMillis) {
    compare(nowMillis);
    return ejected;
  }

  private Endpoint of(EndpointId id, long nowMillis) {
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

  private void compare(long nowMillis) {
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
    int most = (int) (settings.maxEjectedShare() * endpoints.size());
    Set<EndpointId> worst = new HashSet<>();
    outliers.stream().limit(most).forEach(entry -> worst.add(entry.getKey()));
    ejected = Set.copyOf(worst);
  }
}
