package io.sequoiapass.gateway.process;

import io.sequoiapass.coordination.EndpointId;
import io.sequoiapass.gateway.connection.LinkMessage.Placement;
import io.sequoiapass.gateway.version.AdapterName;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Gathers what changed at the engines until it is told; not safe for use by several threads. */
final class PlacementNews {

  private final List<Placement> news = new ArrayList<>();

  /** Notes where an adapter is, or when it is there. */
  void tell(EndpointId id, AdapterName adapter, PlannedEndpoint.Copy copy, long now) {
    if (copy.state != PlannedEndpoint.State.LEAVING) {
      copy.toldReadyAt = copy.readyAt;
      news.add(placement(id, adapter, copy, now));
    }
  }

  /** Notes that an adapter has left. */
  void gone(EndpointId id, AdapterName adapter) {
    news.add(new Placement(id, adapter, 0, -1));
  }

  /** Returns what changed since the last call. */
  List<Placement> take() {
    List<Placement> taken = List.copyOf(news);
    news.clear();
    return taken;
  }

  /** Returns all that engines hold. */
  static List<Placement> whole(Map<EndpointId, PlannedEndpoint> endpoints, long now) {
    List<Placement> whole = new ArrayList<>();
    endpoints.forEach(
        (id, endpoint) ->
            endpoint.copies.forEach(
                (name, copy) -> {
                  if (copy.state != PlannedEndpoint.State.LEAVING) {
                    whole.add(placement(id, name, copy, now));
                  }
                }));
    return whole;
  }

  private static Placement placement(
      EndpointId id, AdapterName adapter, PlannedEndpoint.Copy copy, long now) {
    return new Placement(id, adapter, copy.version, Math.max(0, copy.readyAt - now));
  }
}
