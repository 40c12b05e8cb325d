package io.sequoiapass.daemon.process.owner;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.daemon.request.Execution;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Attempts that wait for the state of their endpoint, not for capacity on it, in order of arrival.
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

  /** Removes and returns the attempts for an endpoint. */
  List<Execution> takeAll(EndpointId endpoint) {
    List<Execution> taken =
        held.stream().filter(execution -> execution.forward().endpoint().equals(endpoint)).toList();
    taken.forEach(held::remove);
    return taken;
  }

  /** Removes and returns the attempts whose deadline has passed. */
  List<Execution> takeExpired(long nowMs) {
    List<Execution> expired =
        held.stream().filter(execution -> execution.isDeadlinePassed(nowMs)).toList();
    expired.forEach(held::remove);
    return expired;
  }
}
