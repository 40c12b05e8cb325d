package io.sequoiapass.coordination.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Picks owners by weighted rendezvous, none far above its share.
 *
 * <p>Plain rendezvous leaves some daemon of 17 with half as much again as the mean of 30 endpoints;
 * the bound passes what is above to the next-ranked. Not thread-safe; made for one decision.
 */
final class Assignment {

  private final Map<DaemonId, Candidate> candidates;
  private final Map<DaemonId, Integer> counts = new HashMap<>();
  private final double endpointsPerWeight;

  Assignment(
      Map<DaemonId, Candidate> candidates, OwnershipTable table, int endpoints, double factor) {
    this.candidates = candidates;
    table.owners().values().forEach(owner -> counts.merge(owner, 1, Integer::sum));
    double total = candidates.values().stream().mapToDouble(Candidate::weight).sum();
    this.endpointsPerWeight = total > 0 ? factor * endpoints / total : 0;
  }

  /** Returns the best daemon that has room, and counts the endpoint as its own. */
  Optional<DaemonId> assign(EndpointId endpoint, Optional<DaemonId> holder) {
    Optional<DaemonId> chosen =
        RendezvousHash.rank(endpoint.value(), candidates.keySet(), this::weight).stream()
            .filter(daemon -> holder.filter(daemon::equals).isPresent() || hasRoom(daemon))
            .findFirst();
    chosen.ifPresent(daemon -> move(holder, daemon));
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
