package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DataCentreId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.connection.EndpointHealth;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What a choice of an endpoint adds for a connection that has to be opened.
 *
 * <p>The load it answers: that of {@link EndpointSubset}. An open connection costs nothing, a new
 * one within the subset little, and one outside it more. Load counts beside it, so a daemon whose
 * subset is busy uses the other endpoints as well. Where a daemon's concurrent requests use
 * connections to all endpoints anyway, every cost is zero.
 *
 * <p>Guarded by the lock of an {@link EndpointGroup}.
 */
final class ConnectionCost {

  /**
   * Cost of a new connection to a member of the subset, in milliseconds. Less than that of another
   * data centre, so that an open connection there does not draw requests away.
   */
  static final double NEW_MS = 5;

  /**
   * Cost of a new connection to another endpoint, in milliseconds: the most by which a caller's
   * response may be later for the sake of a connection. It is a twentieth of a short target for the
   * first token.
   */
  static final double OUTSIDE_MS = 22.5;

  /** How long a maximum of concurrent requests counts, in milliseconds. */
  private static final long PEAK_MS = 10_000;

  /** Time between two selections of the members, in milliseconds; they follow lost endpoints. */
  private static final long REFRESH_MS = 200;

  private final Map<EndpointId, EndpointState> endpoints;
  private final EndpointHealth health;
  private final RecentMaximum concurrency = new RecentMaximum(PEAK_MS);
  private Optional<ConnectionSource> source = Optional.empty();
  private List<EndpointSubset> subsets = List.of();
  private Set<EndpointId> members = Set.of();
  private boolean listChanged = true;
  private boolean preferring;
  private long selectedAt;

  ConnectionCost(Map<EndpointId, EndpointState> endpoints, EndpointHealth health) {
    this.endpoints = endpoints;
    this.health = health;
  }

  /** Sets the daemon's connections; without them every cost is zero. */
  void use(ConnectionSource connections) {
    source = Optional.of(connections);
    listChanged = true;
  }

  /** Called when endpoints have been added or removed. */
  void listChanged() {
    listChanged = true;
  }

  /** Called when a request is sent. */
  void sent(long now) {
    int running = endpoints.values().stream().mapToInt(state -> state.own.running()).sum();
    concurrency.add(running, now);
  }

  /** Returns the cost of a connection for a request to an endpoint, in milliseconds. */
  double ms(EndpointState state, Demand demand, long now) {
    if (source.isEmpty()) {
      return 0;
    }
    if (listChanged || now - selectedAt >= REFRESH_MS) {
      select(source.get(), now);
    }
    if (!preferring || source.get().canReuse().test(state.entry.address(), demand.reuse())) {
      return 0;
    }
    return members.contains(state.entry.endpoint()) ? NEW_MS : OUTSIDE_MS;
  }

  /** Returns the number of preferred endpoints; that of all if none is preferred. */
  int preferred() {
    return preferring ? members.size() : endpoints.size();
  }

  private void select(ConnectionSource connections, long now) {
    if (listChanged) {
      rank(connections);
      listChanged = false;
    }
    selectedAt = now;
    members = new HashSet<>();
    for (EndpointSubset subset : subsets) {
      int size = subset.size(concurrency.value(), endpoints.size());
      members.addAll(subset.members(size, endpoint -> isAvailable(endpoint, now)));
    }
    long available = endpoints.keySet().stream().filter(id -> isAvailable(id, now)).count();
    preferring = members.size() < available;
  }

  private void rank(ConnectionSource connections) {
    Map<DataCentreId, List<EndpointId>> byDataCentre = new HashMap<>();
    endpoints.forEach(
        (id, state) ->
            byDataCentre
                .computeIfAbsent(state.entry.dataCentre(), any -> new ArrayList<>())
                .add(id));
    subsets =
        byDataCentre.values().stream()
            .map(ids -> EndpointSubset.rank(connections.daemon(), ids))
            .toList();
  }

  private boolean isAvailable(EndpointId endpoint, long now) {
    EndpointState state = endpoints.get(endpoint);
    return state != null
        && state.takesWork(now)
        && !state.isResting(now)
        && health.admits(endpoint, now);
  }
}
