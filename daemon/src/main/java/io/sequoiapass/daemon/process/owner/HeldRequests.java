package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.request.Execution;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Keeps attempts that wait for their endpoint itself, not for a place on it, in order of arrival.
 *
 * <p>Guarded by the lock of its shard.
 */
final class HeldRequests {

  private final Set<Execution> held = new LinkedHashSet<>();

  void add(Execution execution) {
    held.add(execution);
  }

  void remove(Execution execution) {
    held.remove(execution);
  }

  /** Takes out those that wait for an endpoint. */
  List<Execution> takeAll(EndpointId endpoint) {
    List<Execution> taken =
        held.stream().filter(execution -> execution.forward().endpoint().equals(endpoint)).toList();
    taken.forEach(held::remove);
    return taken;
  }

  /** Takes out those whose deadline has passed. */
  List<Execution> takeLate(long nowMs) {
    List<Execution> late = held.stream().filter(execution -> execution.isLate(nowMs)).toList();
    late.forEach(held::remove);
    return late;
  }
}
