package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.LinkMessage.Placement;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Collects changes of engine contents until they are published. Not safe for use by several
 * threads.
 */
final class PlacementChanges {

  private final List<Placement> changes = new ArrayList<>();

  /** Records that an adapter is held or is loading. */
  void recordHeld(EndpointId id, AdapterName adapter, PlannedEndpoint.Copy copy, long now) {
    if (copy.state != PlannedEndpoint.State.LEAVING) {
      copy.publishedReadyAt = copy.readyAt;
      changes.add(placement(id, adapter, copy, now));
    }
  }

  /** Records that an adapter was removed. */
  void recordRemoved(EndpointId id, AdapterName adapter) {
    changes.add(new Placement(id, adapter, 0, -1));
  }

  /** Returns and clears the recorded changes. */
  List<Placement> drain() {
    List<Placement> drained = List.copyOf(changes);
    changes.clear();
    return drained;
  }

  /** Returns the contents of all engines. */
  static List<Placement> snapshot(Map<EndpointId, PlannedEndpoint> endpoints, long now) {
    List<Placement> snapshot = new ArrayList<>();
    endpoints.forEach(
        (id, endpoint) ->
            endpoint.copies.forEach(
                (name, copy) -> {
                  if (copy.state != PlannedEndpoint.State.LEAVING) {
                    snapshot.add(placement(id, name, copy, now));
                  }
                }));
    return snapshot;
  }

  private static Placement placement(
      EndpointId id, AdapterName adapter, PlannedEndpoint.Copy copy, long now) {
    return new Placement(id, adapter, copy.version, Math.max(0, copy.readyAt - now));
  }
}
