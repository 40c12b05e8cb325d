package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.DaemonId;
import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.coordination.request.Flow;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The requirements for a load. Instances are immutable.
 *
 * @param adapter the adapter
 * @param version the smallest version that is accepted
 * @param size the size of the waiting request
 * @param flow the most urgent of the waiting requests' flows
 * @param excluded endpoints that the request cannot use, even if they hold the adapter
 * @param daemon the daemon that sends the request; empty if it is not known
 */
record LoadNeed(
    AdapterName adapter,
    long version,
    RequestSize size,
    Flow flow,
    Set<EndpointId> excluded,
    Optional<DaemonId> daemon) {

  /** Copies the excluded endpoints. */
  LoadNeed {
    Objects.requireNonNull(adapter, "adapter");
    Objects.requireNonNull(size, "size");
    Objects.requireNonNull(flow, "flow");
    excluded = Set.copyOf(excluded);
  }

  /** Returns requirements that satisfy both; the size and the daemon are those of this one. */
  LoadNeed merge(LoadNeed other) {
    Set<EndpointId> both = new HashSet<>(excluded);
    both.addAll(other.excluded);
    return new LoadNeed(
        adapter, Math.max(version, other.version), size, flow.mostUrgent(other.flow), both, daemon);
  }
}
