package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.process.RendezvousHash;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The endpoints of a service in one data centre that a daemon prefers, so that it reuses their
 * connections.
 *
 * <pre>{@code
 * EndpointSubset subset = EndpointSubset.rank(daemon, endpoints);
 * Set<EndpointId> members = subset.members(4, endpoint -> health.admits(endpoint, now));
 * }</pre>
 *
 * <p>The load it answers: many daemons that each send a few requests a second to many endpoints.
 * Spread over all of them, hardly any connection is used twice before it is closed, and each new
 * one costs an endpoint a slot for a moment.
 *
 * <p>Rendezvous hashing gives each daemon another subset, and an endpoint that is added or removed
 * changes only the subsets that it belongs to. Instances are immutable.
 */
final class EndpointSubset {

  /** Members without which a daemon would depend on one endpoint in a data centre. */
  private static final int MIN_MEMBERS = 2;

  private final List<EndpointId> ranked;

  private EndpointSubset(List<EndpointId> ranked) {
    this.ranked = ranked;
  }

  /**
   * Ranks the endpoints of a data centre for a daemon.
   *
   * @param daemon the daemon
   * @param endpoints the endpoints
   */
  static EndpointSubset rank(DaemonId daemon, Collection<EndpointId> endpoints) {
    return new EndpointSubset(RendezvousHash.rank(daemon.toString(), endpoints));
  }

  /** Returns the number of endpoints in the data centre. */
  int endpoints() {
    return ranked.size();
  }

  /**
   * Returns how many members a daemon needs in this data centre: one for each of its concurrent
   * requests, as far as they are spread evenly over all endpoints.
   *
   * @param concurrency the daemon's recent maximum of concurrent requests to the service
   * @param allEndpoints the number of the service's endpoints in all data centres
   */
  int size(int concurrency, int allEndpoints) {
    int needed = (int) Math.ceil((double) concurrency * ranked.size() / Math.max(1, allEndpoints));
    return Math.min(ranked.size(), Math.max(MIN_MEMBERS, needed));
  }

  /**
   * Returns the preferred endpoints. Others take the places of unavailable ones.
   *
   * @param size how many are needed
   * @param isAvailable whether an endpoint accepts requests of this daemon now
   */
  Set<EndpointId> members(int size, Predicate<EndpointId> isAvailable) {
    Set<EndpointId> members = new HashSet<>();
    for (EndpointId endpoint : ranked) {
      if (members.size() >= size) {
        break;
      }
      if (isAvailable.test(endpoint)) {
        members.add(endpoint);
      }
    }
    return members;
  }
}
