package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Assigns endpoints to daemons by weighted rendezvous hashing with bounded loads.
 *
 * <p>Without the bound, one of 17 daemons receives up to 1.5 times the mean of 30 endpoints. With
 * it, endpoints above the bound go to the next-ranked daemon. Not thread-safe; create one instance
 * per decision.
 */
final class Assignment {

  private final Map<DaemonId, Candidate> candidates;
  private final Map<DaemonId, Integer> counts = new HashMap<>();
  private final double endpointsPerWeight;

  Assignment(
      Map<DaemonId, Candidate> candidates, OwnershipTable table, int endpoints, double loadFactor) {
    this.candidates = candidates;
    table.owners().values().forEach(owner -> counts.merge(owner, 1, Integer::sum));
    double total = candidates.values().stream().mapToDouble(Candidate::weight).sum();
    this.endpointsPerWeight = total > 0 ? loadFactor * endpoints / total : 0;
  }

  /**
   * Returns the highest-ranked daemon below its bound and counts the endpoint towards its load. The
   * current owner is accepted even at its bound.
   */
  Optional<DaemonId> assign(EndpointId endpoint, Optional<DaemonId> currentOwner) {
    Optional<DaemonId> chosen =
        RendezvousHash.rank(endpoint.value(), candidates.keySet(), this::weight).stream()
            .filter(daemon -> currentOwner.filter(daemon::equals).isPresent() || hasRoom(daemon))
            .findFirst();
    chosen.ifPresent(daemon -> move(currentOwner, daemon));
    return chosen;
  }

  private double weight(DaemonId daemon) {
    return candidates.get(daemon).weight();
  }

  private boolean hasRoom(DaemonId daemon) {
    double bound = Math.ceil(endpointsPerWeight * weight(daemon));
    return counts.getOrDefault(daemon, 0) < bound;
  }

  private void move(Optional<DaemonId> from, DaemonId to) {
    from.ifPresent(daemon -> counts.merge(daemon, -1, Integer::sum));
    counts.merge(to, 1, Integer::sum);
  }
}
